package tcptest

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/internal/tcp"
)

// Partition is what happens to the connections of a Link.
type Partition int

const (
	// Connected means that there is no partition.
	Connected Partition = iota
	// Hangs means that nothing passes in either direction, and that open connections fail after
	// tcp.UserTimeout.
	Hangs
	// Resets means that open connections are reset and new ones refused.
	Resets
	// RefusesNew means that open connections go on working and new ones are refused.
	RefusesNew
)

// String implements fmt.Stringer.
func (p Partition) String() string {
	return [...]string{Connected: "connected", Hangs: "hangs", Resets: "resets", RefusesNew: "refuses_new"}[p]
}

// Link opens the connections of one host, and partitions the host from all that it connects to. The zero
// value is connected.
type Link struct {
	mu        sync.Mutex
	partition Partition
	healed    chan struct{} // closed when the partition ends
	conns     map[*linkConn]bool
}

// Connect opens a connection, as net.Dialer.DialContext does.
func (l *Link) Connect(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	partition := l.partition
	l.mu.Unlock()
	switch partition {
	case Hangs:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case Resets, RefusesNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: conn.(*net.TCPConn), link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*linkConn]bool)
	}
	l.conns[c] = true
	return c, nil
}

// Set begins a partition, or ends it if p is Connected.
func (l *Link) Set(p Partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
	l.partition = p
	switch p {
	case Hangs:
		l.healed = make(chan struct{})
		for c := range l.conns {
			c.hang(l.healed)
		}
	case Resets:
		for c := range l.conns {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// pause is a time in which a connection passes no bytes.
type pause struct {
	over chan struct{} // closed at the end
	err  error         // nil if the connection passes bytes again; set before over is closed
}

// linkConn is a connection of a Link.
type linkConn struct {
	*net.TCPConn
	link   *Link
	once   sync.Once
	closed chan struct{}

	mu    sync.Mutex
	pause *pause // nil while the connection passes bytes
	held  []byte // written during the pause
}

// hang stops the connection until healed is closed. It fails after tcp.UserTimeout, and then never delivers
// what it holds.
func (c *linkConn) hang(healed <-chan struct{}) {
	p := &pause{over: make(chan struct{})}
	c.mu.Lock()
	c.pause = p
	c.mu.Unlock()
	go func() {
		select {
		case <-healed:
			c.resume()
		case <-c.closed:
			p.err = net.ErrClosed
		case <-time.After(tcp.UserTimeout):
			p.err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
			_ = c.TCPConn.Close()
		}
		close(p.over)
	}()
}

// resume sends what was written during the pause, and has the connection pass bytes again.
func (c *linkConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.TCPConn.Write(c.held) // the reader finds the error
	c.pause, c.held = nil, nil
}

// wait waits until the connection passes bytes, or returns the error with which it failed.
func (c *linkConn) wait() error {
	c.mu.Lock()
	p := c.pause
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	<-p.over
	return p.err
}

// Read implements net.Conn. Bytes that arrived during a pause are read after it.
func (c *linkConn) Read(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(b)
	if err := c.wait(); err != nil {
		return 0, err
	}
	return n, err
}

// Write implements net.Conn. Bytes that are written during a pause are sent after it.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.hold(b) {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// hold keeps bytes until the end of a pause. It reports false if there is none, or the connection has failed.
func (c *linkConn) hold(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pause == nil {
		return false
	}
	select {
	case <-c.pause.over:
		return false
	default:
		c.held = append(c.held, b...)
		return true
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.TCPConn.Close()
}

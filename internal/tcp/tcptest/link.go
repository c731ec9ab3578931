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

// linkConn is a connection of a Link.
type linkConn struct {
	*net.TCPConn
	link   *Link
	once   sync.Once
	closed chan struct{}

	mu     sync.Mutex
	healed <-chan struct{} // closed when the connection passes bytes again; nil if it does
}

// hang stops the connection until healed is closed. It fails after tcp.UserTimeout.
func (c *linkConn) hang(healed <-chan struct{}) {
	c.mu.Lock()
	c.healed = healed
	c.mu.Unlock()
	go func() {
		select {
		case <-healed:
		case <-c.closed:
		case <-time.After(tcp.UserTimeout):
			_ = c.TCPConn.Close()
		}
	}()
}

// wait waits while the connection hangs.
func (c *linkConn) wait() {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	if healed == nil {
		return
	}
	select {
	case <-healed:
	case <-c.closed:
	case <-time.After(tcp.UserTimeout):
	}
}

// Read implements net.Conn. Bytes that arrived during a pause are read after it.
func (c *linkConn) Read(b []byte) (int, error) {
	c.wait()
	n, err := c.TCPConn.Read(b)
	c.wait()
	return n, err
}

// Write implements net.Conn. Bytes that are written during a pause are sent after it.
func (c *linkConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	hangs := c.healed != nil
	c.mu.Unlock()
	if !hangs {
		return c.TCPConn.Write(b)
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	held := append([]byte(nil), b...)
	go func() {
		c.wait()
		_, _ = c.TCPConn.Write(held)
	}()
	return len(b), nil
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.TCPConn.Close()
}

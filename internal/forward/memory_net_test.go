package forward_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// memoryNetwork connects clients and servers of one process without sockets, so that time may be virtual. A write
// returns when its bytes have been read. The zero value has no listeners.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
}

// listen returns a listener at a new address, on each of whose connections the server may write the given number of
// bytes.
func (n *memoryNetwork) listen(limit int64) *memoryListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*memoryListener)
	}
	addr := fmt.Sprint("127.0.0.1:", len(n.listeners)+1)
	l := &memoryListener{addr: addr, limit: limit, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// dial is an upstream.DialFunc.
func (n *memoryNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.conns <- &memoryConn{Conn: server, left: l.limit}:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Bounds of what an endpoint and the handler may write on a connection. Time does not pass while a client reads bytes
// that have no end, so no deadline would end that.
const (
	maxEndpointBytes = 128 << 20
	maxHandlerBytes  = 2 * maxEndpointBytes
)

// memoryConn is the server's end of a connection. A write beyond left waits until the client closes the connection.
type memoryConn struct {
	net.Conn
	left int64
}

func (c *memoryConn) Write(b []byte) (int, error) {
	if c.left <= 0 {
		return c.Conn.Read(make([]byte, 1))
	}
	n, err := c.Conn.Write(b)
	c.left -= int64(n)
	return n, err
}

// memoryListener is a net.Listener of a memoryNetwork.
type memoryListener struct {
	addr   string
	limit  int64
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address as a *net.TCPAddr.
func (l *memoryListener) Addr() net.Addr {
	addr, err := net.ResolveTCPAddr("tcp", l.addr)
	if err != nil {
		panic(err)
	}
	return addr
}

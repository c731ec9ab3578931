// Package upstream exchanges single requests with endpoints over HTTP/1.1, on
// connections that it keeps between requests.
//
// It is no general client: nothing is ever sent twice, every failure says whether
// the request can have reached the endpoint, and a connection that brought bytes
// which belong to no request is not used again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/internal/tcp"
)

const (
	// dialTimeout bounds a connection to an endpoint, which is 1 or 2 ms away.
	dialTimeout = 300 * time.Millisecond
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxIdle bounds the connections that are kept to one endpoint.
	maxIdle = 32
	// idleLimit is how long a connection is kept where the endpoint states no
	// limit of its own.
	idleLimit = 30 * time.Second
)

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	addr   string
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*conn // the one used last is at the end
	closed bool

	dials atomic.Int64
}

// NewPool returns a pool of connections to IP:PORT. None is opened before a
// request needs it.
func NewPool(addr string) *Pool {
	return &Pool{addr: addr, dialer: tcp.Dialer(dialTimeout)}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Kept reports whether a connection is kept that may be used now. It may have broken since.
func (p *Pool) Kept(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now.Before(p.idle[n-1].usable)
}

// conn is one connection with its read buffer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	limit  limitedReader
	usable time.Time // until when it may be reused
}

// get returns a kept connection that is still sound, or opens one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.usable) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	c.limit.source = nc
	c.reader = bufio.NewReaderSize(&c.limit, bufferBytes)
	return c, nil
}

// Refuses reports whether nothing listens at the endpoint's address any more, as after it ended. It
// opens a connection, which is kept where one comes about. An endpoint that doesn't answer may live.
func (p *Pool) Refuses(ctx context.Context) bool {
	c, err := p.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(c, idleLimit)
	return false
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, limit time.Duration) {
	c.usable = time.Now().Add(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// CloseIdle closes the kept connections, and those under way once they are done.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// quiet reports whether the peer has neither closed the connection nor sent
// anything since the last answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		sound = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && sound
}

// Package upstream sends single requests to endpoints over HTTP/1.1 and reuses its connections.
//
// It is not a general HTTP client: nothing is ever sent twice, every failure states whether the
// request can have reached the endpoint, and a connection that received bytes that belong to no
// answer is not reused.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/tcp"
)

const (
	// dialTimeout bounds the dialing of an endpoint. The network latency to endpoints is 1 to 2 ms.
	dialTimeout = 300 * time.Millisecond
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxIdle bounds the idle connections kept per endpoint.
	maxIdle = 32
	// defaultIdleTimeout is the time for which an idle connection is kept if the endpoint states no
	// timeout.
	defaultIdleTimeout = 30 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are what pools of a node have in common.
type Options struct {
	// Connect opens connections. Nil means a tcp.Dialer.
	Connect DialFunc
	// Idle bounds the idle connections of all pools together. Nil means that each pool is bounded alone.
	Idle *hostplan.Pool
	// Heads holds the memory, in bytes, of answers' heads of more than ordinary size. Nil means that each is bounded alone.
	Heads *hostplan.Pool
}

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	addr string
	Options

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool

	dials atomic.Int64
}

// NewPool returns a pool of connections to addr, as IP:PORT. They are opened on demand; an attempt takes dialTimeout at
// most.
func NewPool(addr string, options Options) *Pool {
	if options.Connect == nil {
		dialer := tcp.Dialer(dialTimeout)
		options.Connect = dialer.DialContext
	}
	return &Pool{addr: addr, Options: options}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// HasIdle reports whether the pool has an idle connection that may be reused at time now. The
// endpoint may have closed it already.
func (p *Pool) HasIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now.Before(p.idle[n-1].reusableUntil)
}

// conn is one connection with its read buffer.
type conn struct {
	net.Conn
	reader        *bufio.Reader
	heads         *answerhead.Reader // below reader
	reusableUntil time.Time          // end of the time in which it may be reused
	used          bool               // it has carried a request before the present one
}

// get returns an idle connection that is still open, or dials a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if c.reusable(time.Now()) {
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
	p.releaseIdle(1)
	return c
}

// reserveIdle reports whether one more idle connection may be kept.
func (p *Pool) reserveIdle() bool {
	return !p.closed && len(p.idle) < maxIdle && (p.Idle == nil || p.Idle.Reserve(1))
}

// releaseIdle gives back the places of idle connections.
func (p *Pool) releaseIdle(count int) {
	if p.Idle != nil {
		p.Idle.Release(int64(count))
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.Connect(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, heads: answerhead.NewReader(nc, p.Heads)}
	c.reader = bufio.NewReaderSize(c.heads, bufferBytes)
	return c, nil
}

// expectHead has the next bytes checked as the head of an answer: expect is a method of c.heads.
func (c *conn) expectHead(expect func(early []byte)) {
	early, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	expect(early)
	c.reader.Reset(c.heads)
}

// buffered returns the number of received bytes that nobody has read.
func (c *conn) buffered() int { return c.reader.Buffered() + c.heads.Pending() }

// Probe opens a connection, which is kept for later requests, and reports whether that succeeds.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c, defaultIdleTimeout)
	return nil
}

// RefusesConnections reports whether the endpoint's address refuses connections, as after the
// endpoint has ended. It dials a connection, which is kept if dialing succeeds. An endpoint that
// does not answer may still be running, so a timeout counts as false.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	return errors.Is(p.Probe(ctx), syscall.ECONNREFUSED)
}

// keep keeps a connection that has carried a request.
func (p *Pool) keep(c *conn, timeout time.Duration) {
	c.used = true
	p.put(c, timeout)
}

// put keeps a connection for reuse until timeout has passed, or closes it if the pool is closed or
// there is no place for it.
func (p *Pool) put(c *conn, timeout time.Duration) {
	c.reusableUntil = time.Now().Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reserveIdle() {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// CloseIdle closes the pool: the idle connections at once, and each connection in use when its answer
// is done.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.releaseIdle(len(p.idle))
	p.idle = nil
}

// CloseUnusable closes the idle connections that no request may use any more: their time is over, or the endpoint has
// closed them or sends bytes, which would take memory on this host until they are read.
func (p *Pool) CloseUnusable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.reusable(now) {
			return false
		}
		p.releaseIdle(1)
		c.Close()
		return true
	})
}

// reusable reports whether a request may be sent on an idle connection.
func (c *conn) reusable(now time.Time) bool { return now.Before(c.reusableUntil) && c.isIdle() }

// isIdle reports whether the peer has neither closed the connection nor sent anything since the
// last answer.
func (c *conn) isIdle() bool {
	if c.buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/hostplan"
)

const (
	// readBufferBytes is the size of the HTTP server's read buffer. What it holds may belong to the request after the
	// one that is served.
	readBufferBytes = 4 << 10
	// headSlack is what a head may take beyond the limit before it is refused unread: what the limit doesn't count,
	// and the start of the body, which is read with the end of the head.
	headSlack = 1<<10 + readBufferBytes
)

// Phases of a connection.
const (
	phaseIdle    = iota // no byte of the next request was read
	phaseHead           // a head is being read
	phaseRequest        // a request is read further, served and answered
)

// errRefused ends a connection whose head was refused. The HTTP server answers nothing to it.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request header was refused")}

// Conn is a caller's connection. Its methods are called by the HTTP server as those of any connection.
type Conn struct {
	net.Conn
	guard *Guard

	// The fields down to wide belong to the goroutine that serves the connection.
	phase     int
	deadlines int                  // set since the connection became idle
	last      hostplan.HeadSize    // that was read
	head      hostplan.HeadSize    // read so far
	memory    hostplan.Reservation // of the guard's pool of heads
	wide      bool                 // the socket buffers are large

	// stalledSince is when the caller last took a piece of the answer that is being written, in Unix nanoseconds; 0 if
	// none is.
	stalledSince atomic.Int64

	// The guard's mutex protects these.
	place   element
	idle    bool // between two requests
	told    bool // to end
	yielded bool // told to end for another one
	ended   bool // the goroutine ends
}

// Read implements net.Conn. It bounds what is read of a head, before the HTTP server parses it.
func (c *Conn) Read(p []byte) (int, error) {
	if c.phase == phaseHead {
		// The head may have begun with bytes that were read with the request before.
		if why := c.grow(hostplan.HeadSize{}); why != refuseNothing {
			return 0, c.refuse(why)
		}
	}
	n, err := c.Conn.Read(p)
	if c.phase == phaseRequest {
		c.noteBodyRead(p[:n])
		return n, err
	}
	if n == 0 {
		return n, err
	}
	if c.phase == phaseIdle {
		c.beginHead(hostplan.HeadSize{})
	}
	c.last = hostplan.HeadSizeOf(p[:n])
	if why := c.grow(c.last); why != refuseNothing {
		return 0, c.refuse(why)
	}
	return n, err
}

// noteBodyRead records what was read of a body, as the next head may begin in it. One byte alone is read while the
// request is served. What is longer than the HTTP server's buffer goes past it.
func (c *Conn) noteBodyRead(read []byte) {
	if n := len(read); n > 1 && n <= readBufferBytes {
		c.last = hostplan.HeadSizeOf(read)
	}
}

// beginHead begins a head of which the HTTP server has read some before.
func (c *Conn) beginHead(read hostplan.HeadSize) {
	c.phase, c.head = phaseHead, read
	c.guard.await(c)
}

// grow adds what was read to the head.
func (c *Conn) grow(read hostplan.HeadSize) refusal {
	c.head = c.head.Plus(read)
	if c.head.Bytes > c.guard.limits.HeadBytes()+headSlack {
		return refuseTooLarge
	}
	if !c.memory.Resize(c.head.Cost()) {
		return refuseNoRoom
	}
	return refuseNothing
}

// refuse answers a head that is not read to its end, and waits until the caller has got the answer or lingerTime is
// over: to close a connection with unread bytes at once would take the answer away from the caller. It returns the error
// of the read.
func (c *Conn) refuse(why refusal) error {
	c.guard.countRefusal(why, c)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // fails on a closed connection only
	if _, err := c.Conn.Write(c.guard.refusals[why]); err != nil {
		return errRefused
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // ends with the connection, or with the deadline
	}
	return errRefused
}

// SetReadDeadline implements net.Conn. The HTTP server sets two while a connection is idle: one for the first bytes of
// the next request, and one for its head once these have come. If they came without a read, they had been read before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.phase == phaseIdle {
		if c.deadlines++; c.deadlines == headDeadline {
			c.beginHead(c.last)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// headDeadline is the number of the deadline, after a connection has become idle, that is for the next head.
const headDeadline = 2

// Write implements net.Conn. It fails if the caller takes nothing for Limits.StallTime.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.stalledSince.Store(0)
	if len(p) > largeWrite {
		c.widen()
	}
	for {
		n, err := c.writePiece(p[written:min(written+largeWrite, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writePiece writes a piece of an answer, or a part of it if the caller takes that and no more in Limits.StallTime.
func (c *Conn) writePiece(p []byte) (int, error) {
	now := time.Now()
	c.stalledSince.Store(now.UnixNano())
	if err := c.Conn.SetWriteDeadline(now.Add(c.guard.limits.StallTime)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n > 0 {
		return n, nil
	}
	c.dropUnsent()
	return 0, err
}

// dropUnsent has the connection closed without what the caller has not taken.
func (c *Conn) dropUnsent() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}

// SetWriteDeadline implements net.Conn. Write sets its own deadlines.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// CloseWrite closes the direction to the caller, so that the HTTP server can wait until its answer has arrived.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// end closes the connection, also if its caller takes nothing. The guard's mutex must be held.
func (c *Conn) end() {
	c.leave()
	c.told = true
	if c.stalledSince.Load() != 0 {
		c.dropUnsent()
	}
	_ = c.Conn.Close() // its caller gets no more
}

// leave removes the connection from the guard's lists. The guard's mutex must be held.
func (c *Conn) leave() {
	if c.place.at != nil {
		c.place.within.Remove(c.place.at)
	}
	c.place = element{}
}

// setState follows the state that the HTTP server gives the connection.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase = phaseRequest
	case http.StateIdle:
		c.memory.Resize(0)
		c.narrow()
		c.phase, c.deadlines = phaseIdle, 0
		c.guard.rest(c)
	case http.StateClosed:
		c.memory.Resize(0)
		c.narrow()
		c.guard.remove(c)
	}
}

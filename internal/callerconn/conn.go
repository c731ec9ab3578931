package callerconn

import (
	"errors"
	"net"
	"net/http"
)

// Conn is a caller's connection. Its methods are called by the HTTP server as those of any connection.
type Conn struct {
	net.Conn
	guard *Guard

	// waitsIdle is true while no byte of the next request was read. It belongs to the goroutine that serves the
	// connection.
	waitsIdle bool

	// The guard's mutex protects these.
	place          element
	yielded, ended bool // the connection was told to end for another one; its goroutine ends
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.waitsIdle {
		c.waitsIdle = false
		c.guard.await(c)
	}
	return n, err
}

// CloseWrite closes the direction to the caller, so that the HTTP server can wait until its answer has arrived.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// abort closes the connection for a new one.
func (c *Conn) abort() {
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
	case http.StateIdle:
		c.waitsIdle = true
		c.guard.await(c)
	case http.StateClosed:
		c.guard.remove(c)
	}
}

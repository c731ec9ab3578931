package answerhead

import (
	"errors"
	"io"
	"net"
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/requestwrite"
)

// conn is a connection of an http.Transport, which reads it in one goroutine.
type conn struct {
	net.Conn
	reader   *Reader
	expected atomic.Bool                        // a request is about to be sent, so that a head comes next
	request  atomic.Pointer[requestwrite.Write] // the one that was sent last
	failed   atomic.Pointer[error]              // of a head
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, reader: NewReader(raw, nil)} }

// expectAnswer has the next bytes checked as heads of the answer to a request. The connection must not be in use.
func (c *conn) expectAnswer(request *requestwrite.Write) {
	c.request.Store(request)
	c.expected.Store(true)
}

// Read implements net.Conn. After a head, the connection ends regularly only if the request was written.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if failed := c.reader.Err(); failed != nil {
		c.failed.Store(&failed)
	}
	if !errors.Is(err, io.EOF) || c.reader.inHead || c.expected.Load() {
		return n, err
	}
	if cutOff := c.request.Load().Wait(); cutOff != nil {
		return n, cutOff
	}
	return n, err
}

// headError returns the error of a head, which a parser may hide, or else err.
func (c *conn) headError(err error) error {
	if c == nil || c.failed.Load() == nil {
		return err
	}
	return *c.failed.Load()
}

// read reads on. A read that began while the connection was idle returns the first bytes of a head.
func (c *conn) read(p []byte) (int, error) {
	if c.reader.passesOn() {
		n, err := c.Conn.Read(p)
		if n == 0 || !c.expected.Swap(false) {
			return n, err
		}
		c.reader.ExpectAnswer(p[:n])
	} else if c.expected.Swap(false) {
		c.reader.ExpectAnswer(nil)
	}
	return c.reader.Read(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.request.Load().End(net.ErrClosed)
	return err
}

package answerhead

import (
	"net"
	"sync/atomic"
)

// conn is a connection of an http.Transport, which reads it in one goroutine.
type conn struct {
	net.Conn
	reader   *Reader
	expected atomic.Bool // a request is about to be sent, so that a head comes next
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, reader: NewReader(raw)} }

// expectHead has the next bytes checked as heads. The connection must not be in use.
func (c *conn) expectHead() { c.expected.Store(true) }

// Read implements net.Conn. A read that began while the connection was idle returns the first bytes of a head.
func (c *conn) Read(p []byte) (int, error) {
	if c.reader.passesOn() {
		n, err := c.Conn.Read(p)
		if n == 0 || !c.expected.Swap(false) {
			return n, err
		}
		c.reader.ExpectHead(p[:n], MaxBytes)
	} else if c.expected.Swap(false) {
		c.reader.ExpectHead(nil, MaxBytes)
	}
	return c.reader.Read(p)
}

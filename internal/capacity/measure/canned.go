package measure

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const headerTimeout = 5 * time.Second

// loopback is a listen address with a port chosen by the system.
const loopback = "127.0.0.1:0"

// Canned is an HTTP server on loopback that returns the same body to each request and counts the bytes
// on its connections, including HTTP headers.
type Canned struct {
	URL    string
	server *http.Server
	wire   atomic.Int64
}

// NewCanned starts a server that must be closed with Close.
func NewCanned(body []byte) (*Canned, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	c := &Canned{URL: "http://" + l.Addr().String()}
	c.server = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // the client detects an incomplete body
	})}
	go func() { _ = c.server.Serve(countingListener{l, &c.wire}) }() // ends with Close
	return c, nil
}

// WireBytes returns the bytes sent and received on all connections.
func (c *Canned) WireBytes() int64 { return c.wire.Load() }

// Close stops the server.
func (c *Canned) Close() { _ = c.server.Close() }

type countingListener struct {
	net.Listener
	wire *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.wire}, err
}

type countingConn struct {
	net.Conn
	wire *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.Add(int64(n))
	return n, err
}

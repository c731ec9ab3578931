package peers

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/result"
)

// Traffic counts the bytes on all peer connections of a node and the calls it has made.
type Traffic struct {
	Sent, Received, Calls atomic.Uint64
}

// silentLogger prevents the library from writing to the standard logger.
var silentLogger = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

var errPreAuthLimit = errors.New("peer sent too much data before completing the handshake")

// countedConn counts bytes and limits the number of bytes read before the handshake is
// complete.
type countedConn struct {
	net.Conn
	traffic   *Traffic
	unlimited atomic.Bool
	read      int
}

func newCountedConn(conn net.Conn, traffic *Traffic) *countedConn {
	return &countedConn{Conn: conn, traffic: traffic}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	if c.unlimited.Load() {
		return n, err
	}
	c.read += n
	if c.read > preAuthBytes {
		return 0, errPreAuthLimit
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

// wireError is the data of a result error in a JSON-RPC error.
type wireError struct {
	RunState     result.RunState `json:"run_state"`
	Field        string          `json:"field,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Revision     int64           `json:"revision,omitempty"`
}

func toWire(err error) *jsonrpc2.Error {
	e := result.From(err)
	out := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
	out.SetError(wireError{
		RunState:     e.RunState,
		Field:        e.Field,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Revision:     e.Revision,
	})
	return out
}

// fromWire converts a JSON-RPC error to the other node's result error. It returns other
// errors unchanged.
func fromWire(err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		return err
	}
	var data wireError
	if rpc.Data != nil {
		_ = json.Unmarshal(*rpc.Data, &data) // invalid data is ignored: the defaults of the code apply
	}
	return resultError(rpc, data)
}

package peers

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"
)

// A connection without a proof must be closed after the handshake timeout; one with a
// proof must be kept.
func TestConnectionWithoutProofIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		silent, serverEnd := net.Pipe()
		started := time.Now()
		s.serveConn(serverEnd)
		_, err := silent.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		must.Eq(t, handshakeTimeout, time.Since(started))

		clientEnd, serverEnd := net.Pipe()
		s.serveConn(serverEnd)
		stream := jsonrpc2.NewBufferedStream(clientEnd, jsonrpc2.VarintObjectCodec{})
		conn := jsonrpc2.NewConn(t.Context(), stream, refuseCalls{}, silentLogger)
		_, err = NewPool(client, key, nil, &Traffic{}).handshake(t.Context(), conn)
		must.NoError(t, err)
		time.Sleep(2 * handshakeTimeout)
		select {
		case <-conn.DisconnectNotify():
			t.Fatal("connection closed after a successful handshake")
		default:
		}
		must.NoError(t, conn.Close())
	})
}

// failingListener fails a number of accepts for lack of file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, syscall.EMFILE
}

// A temporary lack of file descriptors must not stop the server, a permanent one must.
func TestServeRetriesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		s.listener = &failingListener{failures: maxAcceptFailures}
		must.NoError(t, s.Serve())
		s.listener = &failingListener{failures: maxAcceptFailures + 1}
		must.ErrorIs(t, s.Serve(), syscall.EMFILE)
	})
}

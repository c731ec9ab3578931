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

// TestConnectionWithoutProofIsClosed checks that a connection without a proof is closed
// after the handshake timeout, and that one with a proof is kept.
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
		conn := jsonrpc2.NewConn(t.Context(), stream, rejectCalls{}, silentLogger)
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

// failingListener fails the next accepts for lack of file descriptors. It is closed after
// them.
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

// TestServeRetriesFailedAccepts checks that a temporary lack of file descriptors does not
// stop the server and that a permanent one does.
func TestServeRetriesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		s.listener = &failingListener{failures: maxAcceptFailures}
		must.NoError(t, s.Serve())
		s.listener = &failingListener{failures: maxAcceptFailures + 1}
		must.ErrorIs(t, s.Serve(), syscall.EMFILE)
	})
}

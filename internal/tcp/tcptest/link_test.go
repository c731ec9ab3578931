package tcptest_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/tcp/tcptest"
)

// TestFailedConnectionDeliversNothing checks that a connection which hung until it failed passes no byte in
// either direction, and that one which the end of the partition came before passes all in order.
func TestFailedConnectionDeliversNothing(t *testing.T) {
	const conns = 50
	for _, heals := range []bool{false, true} {
		link := &tcptest.Link{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		var near, far []net.Conn
		for range conns {
			conn, err := link.Connect(t.Context(), "tcp", l.Addr().String())
			must.NoError(t, err)
			peer, err := l.Accept()
			must.NoError(t, err)
			near, far = append(near, conn), append(far, peer)
		}
		link.Set(tcptest.Hangs)
		var reading sync.WaitGroup
		for i, conn := range near {
			for _, text := range []string{"a", "b"} {
				_, err := io.WriteString(conn, text)
				must.NoError(t, err)
				_, err = io.WriteString(far[i], text)
				must.NoError(t, err)
			}
			reading.Go(func() { checkHungConn(t, conn, far[i], heals) })
		}
		if heals {
			link.Set(tcptest.Connected)
		}
		reading.Wait()
		test.NoError(t, l.Close())
	}
}

// checkHungConn reads both ends of a connection on which "ab" was written at each during a partition.
func checkHungConn(t *testing.T, near, far net.Conn, healed bool) {
	received := make([]byte, len("ab"))
	_, err := io.ReadFull(near, received)
	if healed {
		test.NoError(t, err)
		test.Eq(t, "ab", string(received))
	} else {
		test.ErrorIs(t, err, syscall.ETIMEDOUT)
	}
	_ = near.Close()             // fails if the connection has failed
	atPeer, _ := io.ReadAll(far) // ends by the close, or by a reset as bytes stayed unread
	test.Eq(t, map[bool]string{false: "", true: "ab"}[healed], string(atPeer))
	test.NoError(t, far.Close())
}

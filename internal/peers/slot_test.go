package peers

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCallerDoesNotWaitForConcurrentDial checks that a caller that waits for another
// caller's dial of a silent node returns when its own context is done.
func TestCallerDoesNotWaitForConcurrentDial(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	addr := silent.Addr().String()
	pool := NewPool(client, key, nil, &Traffic{})
	first := make(chan error, 1)
	go func() {
		_, err := pool.Identity(t.Context(), addr)
		first <- err
	}()
	conn, err := silent.Accept()
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = Call[echoRequest, echoResponse](ctx, pool, addr, "echo", &echoRequest{})
	must.True(t, IsNotSent(err))
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-first:
		t.Fatal("the second caller waited until the first one's dial ended")
	default:
	}
	must.NoError(t, conn.Close())
	must.Error(t, <-first)
}

// TestIdleSweepKeepsConnectionsInUse checks that a connection with a call in flight is not
// closed as idle.
func TestIdleSweepKeepsConnectionsInUse(t *testing.T) {
	s := newServer()
	called, answer := make(chan struct{}), make(chan struct{})
	Handle(s, "wait", func(context.Context, Identity, *echoRequest) (*echoResponse, error) {
		close(called)
		<-answer
		return &echoResponse{Text: "done"}, nil
	})
	addr, err := s.Listen("127.0.0.1:0", nil)
	must.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	pool := NewPool(client, key, nil, &Traffic{})
	result := make(chan error, 1)
	go func() {
		_, err := Call[echoRequest, echoResponse](t.Context(), pool, addr.String(), "wait", &echoRequest{})
		result <- err
	}()
	<-called
	later := time.Now().Add(time.Hour)
	pool.closeIdle(later)
	close(answer)
	must.NoError(t, <-result)
	pool.closeIdle(later)
	must.MapEmpty(t, pool.slots)
}

// TestRemovedSlotIsNotUsed checks that a slot that is removed before its first use is not
// dialed, because nothing would close the connection.
func TestRemovedSlotIsNotUsed(t *testing.T) {
	pool := NewPool(client, key, nil, &Traffic{})
	s := pool.slot("127.0.0.1:1")
	pool.closeIdle(time.Now())
	_, err := s.use(t.Context(), func() (*peerConn, error) { return nil, io.EOF })
	must.ErrorIs(t, err, errSlotRemoved)
}

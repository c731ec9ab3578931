package peers

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// peerConn is a connection to another node.
type peerConn struct {
	conn  *jsonrpc2.Conn
	peer  Identity
	calls atomic.Int64 // in flight
}

// release ends one use of the connection.
func (l *peerConn) release() { l.calls.Add(-1) }

func (l *peerConn) closed() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// slot holds the connection to one address. Its lock makes concurrent callers share one
// dial. The lock is a channel, so that each caller waits no longer than its own context
// allows.
type slot struct {
	lock     chan struct{} // holds a value while locked
	peer     *peerConn
	lastUsed time.Time
	dropped  bool // the slot was removed from the pool
}

// errDropped is returned for a slot that was removed from the pool before it was used.
var errDropped = errors.New("peer connection slot was removed from the pool")

func newSlot() *slot { return &slot{lock: make(chan struct{}, 1)} }

// use returns the slot's connection and dials it if necessary. The caller must release
// it. It fails if the dial fails, ctx is done or the slot was dropped.
func (s *slot) use(ctx context.Context, dial func() (*peerConn, error)) (*peerConn, error) {
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "wait for a concurrent dial of the peer")
	}
	defer s.unlock()
	if s.dropped {
		return nil, errDropped
	}
	if s.peer == nil || s.peer.closed() {
		l, err := dial()
		if err != nil {
			return nil, err
		}
		s.peer = l
	}
	s.lastUsed = time.Now()
	s.peer.calls.Add(1)
	return s.peer, nil
}

func (s *slot) unlock() { <-s.lock }

// dropIfIdle closes the connection and marks the slot as dropped if it was last used
// before the given time. Otherwise, or if the connection has calls in flight or is being
// dialed, it returns false.
func (s *slot) dropIfIdle(before time.Time) bool {
	select {
	case s.lock <- struct{}{}:
	default:
		return false
	}
	defer s.unlock()
	if s.lastUsed.After(before) || (s.peer != nil && s.peer.calls.Load() > 0) {
		return false
	}
	s.close()
	return true
}

func (s *slot) close() {
	s.dropped = true
	if s.peer != nil {
		_ = s.peer.conn.Close() // fails only if already closed
	}
}

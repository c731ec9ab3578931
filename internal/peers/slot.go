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
	conn     *jsonrpc2.Conn
	identity Identity
	calls    atomic.Int64 // in flight
}

// release ends one use of the connection.
func (c *peerConn) release() { c.calls.Add(-1) }

func (c *peerConn) closed() bool {
	select {
	case <-c.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// slot holds the connection to one address. Its lock ensures that concurrent callers share
// one dial. The lock is a channel, so that each caller waits no longer than its own context
// allows.
type slot struct {
	lock     chan struct{} // holds a value while locked
	peerConn *peerConn
	lastUsed time.Time
	removed  bool // the slot was removed from the pool
}

// errSlotRemoved is returned for a slot that was removed from the pool before it was used.
var errSlotRemoved = errors.New("peer connection slot was removed from the pool")

func newSlot() *slot { return &slot{lock: make(chan struct{}, 1)} }

// use returns the slot's connection and dials it if necessary. The caller must release
// the connection. use fails if the dial fails, ctx is done or the slot was removed.
func (s *slot) use(ctx context.Context, dial func() (*peerConn, error)) (*peerConn, error) {
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "wait for a concurrent dial of the peer")
	}
	defer s.unlock()
	if s.removed {
		return nil, errSlotRemoved
	}
	if s.peerConn == nil || s.peerConn.closed() {
		c, err := dial()
		if err != nil {
			return nil, err
		}
		s.peerConn = c
	}
	s.lastUsed = time.Now()
	s.peerConn.calls.Add(1)
	return s.peerConn, nil
}

func (s *slot) unlock() { <-s.lock }

// removeIfIdle closes the connection, marks the slot as removed and returns true, if the
// slot was last used before the given time. Otherwise, or if the connection has calls in
// flight or is being dialed, it returns false.
func (s *slot) removeIfIdle(before time.Time) bool {
	select {
	case s.lock <- struct{}{}:
	default:
		return false
	}
	defer s.unlock()
	if s.lastUsed.After(before) || (s.peerConn != nil && s.peerConn.calls.Load() > 0) {
		return false
	}
	s.close()
	return true
}

func (s *slot) close() {
	s.removed = true
	if s.peerConn != nil {
		_ = s.peerConn.conn.Close() // fails only if already closed
	}
}

// Package brittle limits the requests in flight at an endpoint that fails if it refuses too many for want of
// room, and that may let fewer wait than usual or none.
//
// Nothing waits at such an endpoint: all nodes together fill its slots at most. One half of the slots is
// divided among a few nodes, as many as the refusals that the endpoint bears in a second, which are selected
// by rendezvous hashing over the member list. The other half is open to every node, as far as the requests
// of the others that it knows of leave room. A node that was refused sends nothing for a second.
//
// Guarantee: nodes with the same member list that know of each other's requests never overfill the slots. The
// open half may be overfilled by requests that nodes have not told one another yet. A node that has
// just started or was suspended learns from its first answer that an endpoint is brittle.
package brittle

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/senders"
)

const (
	// refusalPause is the time for which a node sends nothing to an endpoint that refused a request, and
	// also the period for which the endpoint counts refusals.
	refusalPause = time.Second
	// retryInterval is the time after which a request that waits for a slot is tried again.
	retryInterval = 20 * time.Millisecond
)

// Endpoint is a brittle endpoint as this node knows it.
type Endpoint struct {
	ID, Domain string
	Slots      int
	// Refusals is the number of refusals per second that the endpoint bears, at least 1.
	Refusals int
	// Own is the number of this node's requests in flight there, Others that of the other nodes.
	Own, Others int
	// RefusedAt is when the endpoint last refused a request of this node for want of room; zero if never.
	RefusedAt time.Time
}

// Limiter decides whether this node may send a request to a brittle endpoint. It is safe for concurrent use.
type Limiter struct {
	Node string // this node's name
	// View returns the nodes from which the given number of senders for the endpoints of a failure domain
	// is selected.
	View func(domain string, senders int) senders.View

	mu    sync.Mutex
	table senders.Table
}

// Wait returns how long this node must wait before it may send the endpoint a request; 0 if it may now.
func (l *Limiter) Wait(e *Endpoint, now time.Time) time.Duration {
	if !e.RefusedAt.IsZero() {
		if left := e.RefusedAt.Add(refusalPause).Sub(now); left > 0 {
			return left
		}
	}
	open := (e.Slots + 1) / 2
	share := l.share(e, e.Slots-open, now)
	if beyondShare := max(e.Own-share, 0); e.Own < share || beyondShare+e.Others < open {
		return 0
	}
	return retryInterval
}

// share returns this node's part of the divided slots.
func (l *Limiter) share(e *Endpoint, slots int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Node, l.table.View = l.Node, l.View
	count := min(max(e.Refusals, 1), slots)
	if count == 0 {
		return 0
	}
	r := l.table.Record(e.ID, e.Domain, count, refusalPause, now)
	return senders.Share(slots, r.Rank, r.Senders)
}

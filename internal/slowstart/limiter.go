package slowstart

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/senders"
)

// window is the time in which a node sends its share: a second, and what the way of one request
// may take longer than that of the one before.
const window = 1100 * time.Millisecond

// View is what a node knows of the nodes that may send to an endpoint.
type View = senders.View

// Limiter decides whether this node may send a request to a cold endpoint. It is safe for concurrent
// use.
type Limiter struct {
	Node string // this node's name
	// View returns the nodes that may send to the endpoints of a failure domain, of which so many
	// are to.
	View func(domain string, senders int) View

	mu    sync.Mutex
	table senders.Table
}

// Endpoint is a cold endpoint.
type Endpoint struct {
	ID, Domain string
	Most       int // requests that it may get in a second
}

// Allows reports whether a request may be sent to a cold endpoint now.
func (l *Limiter) Allows(e *Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.allows(e, now)
	return ok
}

// Take counts a request that is sent now, and reports false where it may not be.
func (l *Limiter) Take(e *Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.allows(e, now)
	if ok {
		r.Sent = append(r.Sent, now)
	}
	return ok
}

func (l *Limiter) allows(e *Endpoint, now time.Time) (*senders.Record, bool) {
	share := ShareOf(e.Most)
	if share.Senders == 0 {
		return nil, false
	}
	l.table.Node, l.table.View = l.Node, l.View
	r := l.table.Record(e.ID, e.Domain, share.Senders, window, now)
	return r, r.Rank >= 0 && len(r.Sent) < share.Each
}

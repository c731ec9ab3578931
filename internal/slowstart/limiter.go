package slowstart

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/senders"
)

// window is the interval in which a node sends its share: one second plus the maximum difference
// between the network delays of two requests.
const window = 1100 * time.Millisecond

// View is a node's list of the nodes that may send to an endpoint.
type View = senders.View

// Limiter decides whether this node may send a request to a cold endpoint. It is safe for concurrent
// use.
type Limiter struct {
	Node string // this node's name
	// View returns the nodes from which the given number of senders for the endpoints of a failure
	// domain is selected.
	View func(domain string, senders int) View

	mu    sync.Mutex
	table senders.Table
}

// Endpoint is a cold endpoint.
type Endpoint struct {
	ID, Domain   string
	MaxPerSecond int // maximum number of requests per second
}

// Allows reports whether a request may be sent to a cold endpoint now.
func (l *Limiter) Allows(e *Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.allows(e, now)
	return ok
}

// Take counts a request that is sent now. It returns false, and counts nothing, if the request may not
// be sent.
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
	share := ShareOf(e.MaxPerSecond)
	if share.Senders == 0 {
		return nil, false
	}
	l.table.Node, l.table.View = l.Node, l.View
	r := l.table.Record(e.ID, e.Domain, share.Senders, window, now)
	return r, r.Rank >= 0 && len(r.Sent) < share.PerSender
}

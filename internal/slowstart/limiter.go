package slowstart

import (
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

const (
	// window is the time in which a node sends its share: a second, and what the way of one request
	// may take longer than that of the one before.
	window = 1100 * time.Millisecond
	// mostTracked bounds the endpoints whose sends are remembered. Those whose window is over are
	// forgotten first.
	mostTracked = 4096
)

// View is what a node knows of the nodes that may send to an endpoint.
type View struct {
	// Generation changes whenever Nodes may have.
	Generation int64
	// Nodes are their names. None means that this node must send nothing, as others may not count it.
	Nodes []string
}

// Limiter decides whether this node may send a request to a cold endpoint. It is safe for concurrent
// use.
type Limiter struct {
	Node string // this node's name
	// View returns the nodes that may send to the endpoints of a failure domain, of which so many
	// are to.
	View func(domain string, senders int) View

	mu      sync.Mutex
	tracked map[string]*record // by endpoint
}

// record is what is known of a cold endpoint.
type record struct {
	generation int64
	senders    int
	sends      bool // this node is one of its senders
	sent       []time.Time
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
		r.sent = append(r.sent, now)
	}
	return ok
}

func (l *Limiter) allows(e *Endpoint, now time.Time) (*record, bool) {
	share := ShareOf(e.Most)
	if share.Senders == 0 {
		return nil, false
	}
	r := l.record(e, share.Senders, now)
	if !r.sends {
		return r, false
	}
	r.forget(now)
	return r, len(r.sent) < share.Each
}

// record returns what is known of an endpoint, with whether this node is one of its senders by the
// newest view.
func (l *Limiter) record(e *Endpoint, senders int, now time.Time) *record {
	view := l.View(e.Domain, senders)
	r := l.tracked[e.ID]
	if r == nil {
		r = &record{generation: view.Generation - 1}
		l.track(e.ID, r, now)
	}
	if r.generation != view.Generation || r.senders != senders {
		r.generation, r.senders = view.Generation, senders
		r.sends = l.isSender(e.ID, view.Nodes, senders)
	}
	return r
}

func (l *Limiter) isSender(endpoint string, names []string, senders int) bool {
	nodes := make([]rendezvous.Node, len(names))
	for i, name := range names {
		nodes[i] = rendezvous.Node{ID: name, Weight: 1}
	}
	return slices.Contains(rendezvous.Top(senders, endpoint, nodes), l.Node)
}

func (l *Limiter) track(id string, r *record, now time.Time) {
	if l.tracked == nil {
		l.tracked = make(map[string]*record)
	}
	if len(l.tracked) >= mostTracked {
		for known, old := range l.tracked {
			if old.forget(now); len(old.sent) == 0 {
				delete(l.tracked, known)
			}
		}
	}
	l.tracked[id] = r
}

// forget drops the sends that are out of the window.
func (r *record) forget(now time.Time) {
	r.sent = slices.DeleteFunc(r.sent, func(at time.Time) bool { return now.Sub(at) > window })
}

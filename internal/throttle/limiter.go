// Package throttle bounds the requests that all nodes together send to an endpoint that names a limit.
//
// Few nodes send to such an endpoint, chosen by rendezvous hashing over the members of a view that all
// nodes read from the same place, and each sends only its share in any window. Nothing is told or agreed on
// for it, so that it holds at any number of nodes, while messages are lost, and for nodes that are cut off
// or just started. A node that isn't among them leaves the endpoint to the others.
//
// Where an endpoint has told nothing for long, as its senders are gone or have no callers, nodes take turns at a
// trial request, one for all nodes in each turn: a node that sends nothing would never hear that a limit
// ended.
//
// Guarantee: nodes whose views of the members hold at most two sets of senders of an endpoint, as while
// members come or go, send it at most 1.5 times its limit and 5 requests more in any 4 s. One set sends no
// more than the limit. A node that isn't in its own view, or whose view is too old, sends nothing.
package throttle

import (
	"strconv"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/senders"
)

const (
	// staleAfter is the age of what an endpoint told last from which nodes try it in turn. Of endpoints that get
	// a request less often, it is staleWindows of their windows.
	staleAfter   = 10 * time.Second
	staleWindows = 2
	// turnTime is the time for which a node has its turn. It uses the first half alone, so that the trials
	// of two turns are a window apart.
	turnTime = 2 * boundWindow
)

// Limiter decides whether this node may send a request to an endpoint that names a limit. It is safe for
// concurrent use.
type Limiter struct {
	Node string // this node's name
	// View returns the nodes that may send to the endpoints of a failure domain, of which so many
	// are to.
	View func(domain string, senders int) senders.View

	mu    sync.Mutex
	table senders.Table
}

// Endpoint is an endpoint that names a limit.
type Endpoint struct {
	ID, Domain string
	PerSecond  float64       // requests that it takes from all nodes together
	Age        time.Duration // of what it told last
}

// Allows reports whether a request may be sent to the endpoint now.
func (l *Limiter) Allows(e *Endpoint, now time.Time) bool { return l.Wait(e, now) == 0 }

// Never is what Wait returns at a node that isn't among the endpoint's senders.
const Never = time.Duration(1<<63 - 1)

// Wait returns how long this node has to wait until it may send a request to the endpoint.
func (l *Limiter) Wait(e *Endpoint, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, wait := l.wait(e, now)
	return wait
}

// Take counts a request that is sent now, and reports false where it may not be.
func (l *Limiter) Take(e *Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, wait := l.wait(e, now)
	if wait > 0 {
		return false
	}
	if r != nil {
		r.Sent = append(r.Sent, now)
	}
	return true
}

func (l *Limiter) wait(e *Endpoint, now time.Time) (*senders.Record, time.Duration) {
	if e.PerSecond >= mostPerSecond {
		return nil, 0
	}
	share := ShareOf(e.PerSecond)
	l.table.Node, l.table.View = l.Node, l.View
	r := l.table.Record(e.ID, e.Domain, share.senders(), share.Window, now)
	if most := share.of(r.Rank, r.Senders); most > 0 {
		return r, pause(r.Sent, most, share.Window, now)
	}
	if e.Age > max(staleAfter, staleWindows*share.Window) && len(r.Sent) == 0 && l.hasTurn(e.ID, r.Nodes, now) {
		return r, 0
	}
	return r, Never
}

// pause returns the time until a sender that may send so many requests in a window may send the next one.
// They are at least half of their mean distance apart, as an endpoint in need should not get them at once.
func pause(sent []time.Time, most int, window time.Duration, now time.Time) time.Duration {
	if len(sent) == 0 {
		return 0
	}
	last := sent[len(sent)-1]
	next := last.Add(window / time.Duration(2*most))
	if len(sent) >= most {
		if free := sent[len(sent)-most].Add(window); free.After(next) {
			next = free
		}
	}
	return max(next.Sub(now), 0)
}

// hasTurn reports whether it is this node's turn to try an endpoint.
func (l *Limiter) hasTurn(id string, nodes []string, now time.Time) bool {
	since := now.UnixNano()
	turn := since / int64(turnTime)
	if since%int64(turnTime) >= int64(turnTime/2) {
		return false
	}
	first := senders.Choose(id+" "+strconv.FormatInt(turn, 10), nodes, 1)
	return len(first) == 1 && first[0] == l.Node
}

// Package throttle limits the requests that all nodes together send to an endpoint that reports a rate
// limit.
//
// Only a few nodes send to such an endpoint. They are selected by rendezvous hashing over a member list
// that all nodes read from the same source, and each sends only its quota per window. This needs no
// communication between nodes, so it works for any number of nodes, with lost messages, and for nodes
// that are partitioned or have just started. A node that is not selected sends nothing to the endpoint.
//
// If an endpoint has not reported anything for a long time, because its senders are gone or have no
// clients, the nodes take turns in sending a trial request, one per turn across all nodes. Otherwise a
// node that sends nothing would never receive the end of a limit.
//
// Guarantee: nodes whose member lists yield at most two sets of senders for an endpoint, as during a
// membership change, send it at most 1.5 times its limit plus 5 requests in any 4 s. A single set stays
// within the limit. A node that is missing from its own member list, or whose list is too old, sends
// nothing.
package throttle

import (
	"strconv"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/senders"
)

const (
	// Nodes send trial requests in turn once an endpoint's last report is older than staleAfter, or
	// than staleWindows windows if that is longer.
	staleAfter   = 10 * time.Second
	staleWindows = 2
	// trialTurn is the length of a node's turn. Only its first half is used, so that the trial requests
	// of two turns are at least one window apart.
	trialTurn = 2 * boundWindow
)

// Limiter decides whether this node may send a request to an endpoint that reports a rate limit. It is
// safe for concurrent use.
type Limiter struct {
	Node string // this node's name
	// View returns the nodes from which the given number of senders for the endpoints of a failure
	// domain is selected.
	View func(domain string, senders int) senders.View

	mu    sync.Mutex
	table senders.Table
}

// Endpoint is an endpoint that reports a rate limit.
type Endpoint struct {
	ID, Domain string
	PerSecond  float64       // requests per second accepted from all nodes together
	ReportAge  time.Duration // time since the endpoint's last report
}

// Allows reports whether a request may be sent to the endpoint now.
func (l *Limiter) Allows(e *Endpoint, now time.Time) bool { return l.Wait(e, now) == 0 }

// Never is returned by Wait if this node may not send to the endpoint at all: it is not one of its
// senders, and it is not its turn for a trial request.
const Never = time.Duration(1<<63 - 1)

// Wait returns how long this node must wait before it may send a request to the endpoint.
func (l *Limiter) Wait(e *Endpoint, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, wait := l.wait(e, now)
	return wait
}

// Take counts a request that is sent now. It returns false, and counts nothing, if the request may not
// be sent.
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
	if e.PerSecond >= minUnlimitedRate {
		return nil, 0
	}
	quota := ShareOf(e.PerSecond)
	l.table.Node, l.table.View = l.Node, l.View
	r := l.table.Record(e.ID, e.Domain, quota.senderCount(), quota.Window, now)
	if own := quota.ofRank(r.Rank, r.Senders); own > 0 {
		return r, waitTime(r.Sent, own, quota.Window, now)
	}
	if e.ReportAge > max(staleAfter, staleWindows*quota.Window) && len(r.Sent) == 0 && l.hasTurn(e.ID, r.Nodes, now) {
		return r, 0
	}
	return r, Never
}

// waitTime returns the time until a sender with the given quota per window may send its next request.
// Requests are at least half the mean interval apart, so that an overloaded endpoint does not get them
// in a burst.
func waitTime(sent []time.Time, quota int, window time.Duration, now time.Time) time.Duration {
	if len(sent) == 0 {
		return 0
	}
	last := sent[len(sent)-1]
	next := last.Add(window / time.Duration(2*quota))
	if len(sent) >= quota {
		if free := sent[len(sent)-quota].Add(window); free.After(next) {
			next = free
		}
	}
	return max(next.Sub(now), 0)
}

// hasTurn reports whether it is this node's turn to send the endpoint a trial request.
func (l *Limiter) hasTurn(id string, nodes []string, now time.Time) bool {
	nanos := now.UnixNano()
	turn := nanos / int64(trialTurn)
	if nanos%int64(trialTurn) >= int64(trialTurn/2) {
		return false
	}
	chosen := senders.Select(id+" "+strconv.FormatInt(turn, 10), nodes, 1)
	return len(chosen) == 1 && chosen[0] == l.Node
}

package gateway

import (
	"time"

	"github.com/cherryward/cherryward/internal/placer"
)

const (
	// entryProof is how long a node counts itself as one of those that the others count
	// after its entry was certainly in the topic. It is the longest age of that proof on a
	// calm day, 20 s (a read that waits 10 s proves what was when it was sent, and the next
	// one takes as long), and an outage of the store of 40 s.
	entryProof = 60 * time.Second
	// leaseSlack is added to what others wait after that: timers fire late.
	leaseSlack = 2 * time.Second
)

// goneGrace returns how long an entry is marked before it is removed, and how long a node
// whose entry was removed stands back after it has one again. A node that is cut off acts as
// counted for entryProof; what it did last is over after a window of the retry budget, and
// after the longest fetch that it named on the oldest configuration.
func goneGrace(budgetWindow time.Duration) time.Duration {
	return entryProof + max(budgetWindow, staleNaming+placer.FetchLimit) + leaseSlack
}

// lease is a node's right to act as one of those that the others count: to use its share of
// the retry budget, and to name parts at stores that others free on all nodes' promises.
//
// Guarantee: nobody leaves a node out of the count while its lease holds, nor within the time
// that what it did last takes to end. A lease is dated by reads of the topic that found the
// node's own entry without a mark; others remove an entry goneGrace after it was marked, and
// only where it wasn't written since. A node that was left out holds no lease until the others
// have read its new entry, or hold none themselves.
type lease struct {
	grace  time.Duration
	proven time.Time // when the entry was certainly there; at first the node's start
	ever   bool      // the entry was there
	out    bool      // it was there, and is no more
	from   time.Time // the lease doesn't hold before
}

// sighting is what a read of the topic tells of a node's own entry.
type sighting struct {
	listed, gone bool
	touched      bool // the read brought a record of it
	provenAt, at time.Time
}

// see takes a read's word. An entry that was removed and written again between two reads
// leaves no trace but a record after a lapsed proof.
func (l *lease) see(s sighting) {
	switch {
	case !s.listed:
		l.out = l.ever
	case !s.gone:
		lapsed := l.ever && s.touched && s.provenAt.Sub(l.proven) >= entryProof
		if l.out || lapsed {
			l.from = s.at.Add(l.grace)
		}
		l.ever, l.out = true, false
		if s.provenAt.After(l.proven) {
			l.proven = s.provenAt
		}
	}
}

// holds reports whether the others certainly count this node.
func (l *lease) holds(now time.Time) bool {
	return !l.out && !now.Before(l.from) && now.Sub(l.proven) < entryProof
}

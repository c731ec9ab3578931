package gateway

import (
	"time"

	"github.com/cherryward/cherryward/internal/placer"
)

const (
	// leaseDuration is how long a node considers itself counted by the others after its entry was
	// last known to be in the topic. It covers the maximum age of that confirmation in normal
	// operation, 20 s (a read that waits 10 s confirms the state at the time it was sent, and the
	// next read takes as long), plus a store outage of 40 s.
	leaseDuration = 60 * time.Second
	// timerSlack is added to the time that other nodes wait beyond the lease, since timers fire
	// late.
	timerSlack = 2 * time.Second
)

// removalGrace returns how long an entry stays marked before it is removed, and how long a node
// whose entry was removed waits, after its new entry was read, before its lease is valid. A
// disconnected node acts as if the others counted it for leaseDuration. The effects of its last
// actions end after one window of the retry budget, and after the longest fetch of a part that it
// referenced with the oldest permitted configuration.
func removalGrace(budgetWindow time.Duration) time.Duration {
	return leaseDuration + max(budgetWindow, maxReferenceConfigAge+placer.FetchLimit) + timerSlack
}

// lease is a node's right to act as one of the nodes that the others count: to use its share of the
// retry budget, and to reference parts at stores, which other nodes free early only once every
// counted node has reported that it no longer references them.
//
// Guarantee: no node excludes another from the count while the other's lease is valid, nor until
// the effects of its last actions have ended. The lease is renewed by each read of the topic that
// finds the node's own entry unmarked. Other nodes remove an entry removalGrace after it was
// marked, and only if it was not written since. A removed node has no valid lease until the others
// have read its new entry, or have no valid lease themselves.
type lease struct {
	grace         time.Duration
	lastConfirmed time.Time // last time the entry was known to be present; initially the node's start
	everListed    bool      // the entry has been present
	listedSince   time.Time // a time since which the entry was present before it was removed, if it was; zero if it never was
	removed       bool      // the entry was present and has disappeared
	validFrom     time.Time // the lease is invalid before this time
}

// entryObservation is the state of a node's own entry according to a read of the topic.
type entryObservation struct {
	listed, gone    bool
	updated         bool // the read returned a record of the entry
	first           bool // the read is the node's first one
	confirmedAt, at time.Time
}

// observe updates the lease from a read of the topic. If an entry was removed and written again
// between two reads, the only evidence is a record that arrives after the confirmation has expired.
func (l *lease) observe(o entryObservation) {
	switch {
	case !o.listed:
		l.removed = l.everListed
	case !o.gone:
		mayHaveBeenRemoved := l.everListed && o.updated && o.confirmedAt.Sub(l.lastConfirmed) >= leaseDuration
		if l.removed || mayHaveBeenRemoved {
			l.validFrom = o.at.Add(l.grace)
		}
		if !l.everListed {
			l.listedSince = o.at
		}
		if !l.everListed && o.first {
			l.listedSince = l.lastConfirmed // the start, before which an earlier process wrote the entry
		}
		l.everListed, l.removed = true, false
		if o.confirmedAt.After(l.lastConfirmed) {
			l.lastConfirmed = o.confirmedAt
		}
	}
}

// valid reports whether the other nodes are certain to count this node.
func (l *lease) valid(now time.Time) bool {
	return !l.removed && !now.Before(l.validFrom) && now.Sub(l.lastConfirmed) < leaseDuration
}

package gateway

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/platform"
)

// evacuations are the failure domains that the operators have evacuated: nothing is to be sent to the
// endpoints there. Its zero value has none. Requests read it at every look for an endpoint.
type evacuations struct {
	// since is when each order was first seen, by failure domain. The map is never changed in place.
	since atomic.Pointer[map[string]time.Time]
	// ending is called before a failure domain's endpoints may get requests again; nil for nothing.
	ending func(domain string)
}

// evacuationChange is an order that was given or taken back.
type evacuationChange struct {
	domain string
	begun  bool
	offset int64 // of the record; 0 where the order is missing in a snapshot
}

// inForce reports whether a failure domain is evacuated.
func (e *evacuations) inForce(domain string) bool {
	_, ok := e.all()[domain]
	return ok
}

// all returns since when each failure domain has been evacuated, as far as this node saw. It is not
// to be changed.
func (e *evacuations) all() map[string]time.Time {
	if since := e.since.Load(); since != nil {
		return *since
	}
	return nil
}

// apply takes the orders of a batch and returns what changed. An order that a snapshot lacks was taken
// back, whether the record of that was read or not. One that was taken back and given again within a
// batch stays in force throughout, but its endpoints count as given back: they may be cold.
func (e *evacuations) apply(b *follow.Batch, now time.Time) []evacuationChange {
	before := e.all()
	next := maps.Clone(before)
	if next == nil {
		next = make(map[string]time.Time)
	}
	present := make(map[string]bool)
	var changes []evacuationChange
	for i := range b.Records {
		r := &b.Records[i]
		domain, ok := platform.EvacuatedDomain(r.Key)
		if !ok {
			continue
		}
		_, known := next[domain]
		begun := r.Value != nil
		present[domain] = begun
		if begun == known {
			continue
		}
		if begun {
			next[domain] = now
		} else {
			delete(next, domain)
		}
		changes = append(changes, evacuationChange{domain: domain, begun: begun, offset: r.Offset})
	}
	if b.Snapshot {
		for domain := range next {
			if !present[domain] {
				delete(next, domain)
				changes = append(changes, evacuationChange{domain: domain})
			}
		}
	}
	if len(changes) == 0 {
		return nil
	}
	e.tellEnding(changes)
	e.since.Store(&next)
	return changes
}

// tellEnding tells of the orders that are taken back.
func (e *evacuations) tellEnding(changes []evacuationChange) {
	if e.ending == nil {
		return
	}
	for _, change := range changes {
		if !change.begun {
			e.ending(change.domain)
		}
	}
}

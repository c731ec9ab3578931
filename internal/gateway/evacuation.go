package gateway

import (
	"maps"
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/platform"
)

// evacuations are the failure domains that the operators have evacuated: nothing is to be sent to the
// endpoints there. Its zero value has none. Requests read it at every look for an endpoint.
type evacuations struct {
	// domains are those of the orders in force. The map is never changed in place.
	domains atomic.Pointer[map[string]bool]
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
func (e *evacuations) inForce(domain string) bool { return e.all()[domain] }

// all returns the failure domains that are evacuated, as far as this node saw. It is not to be changed.
func (e *evacuations) all() map[string]bool {
	if domains := e.domains.Load(); domains != nil {
		return *domains
	}
	return nil
}

// apply takes the orders of a batch and returns what changed. An order that a snapshot lacks was taken
// back, whether the record of that was read or not. One that was taken back and given again within a
// batch stays in force throughout, but its endpoints count as given back: they may be cold.
func (e *evacuations) apply(b *follow.Batch) []evacuationChange {
	if !b.Snapshot && len(b.Records) == 0 {
		return nil
	}
	next := make(map[string]bool)
	maps.Copy(next, e.all())
	present := make(map[string]bool)
	var changes []evacuationChange
	for i := range b.Records {
		r := &b.Records[i]
		domain, ok := platform.EvacuatedDomain(r.Key)
		if !ok {
			continue
		}
		begun := r.Value != nil
		present[domain] = begun
		if begun == next[domain] {
			continue
		}
		if begun {
			next[domain] = true
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
	e.domains.Store(&next)
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

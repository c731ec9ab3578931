package gateway

import (
	"maps"
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/platform"
)

// evacuations holds the failure domains that operators have evacuated: their endpoints receive no
// requests. The zero value has none. It is read for every selection of an endpoint.
type evacuations struct {
	// domains are the evacuated failure domains. The map is replaced, never modified.
	domains atomic.Pointer[map[string]bool]
	// onEnd, if not nil, is called before the endpoints of a failure domain may receive requests
	// again.
	onEnd func(domain string)
}

// evacuationChange is the start or the end of an evacuation.
type evacuationChange struct {
	domain    string
	evacuated bool
	offset    int64 // of the record; 0 if a snapshot lacks the order
}

// isEvacuated reports whether a failure domain is evacuated.
func (e *evacuations) isEvacuated(domain string) bool { return e.evacuatedDomains()[domain] }

// evacuatedDomains returns the evacuated failure domains according to the records read so far.
// Callers must not modify the map.
func (e *evacuations) evacuatedDomains() map[string]bool {
	if domains := e.domains.Load(); domains != nil {
		return *domains
	}
	return nil
}

// apply applies the evacuation orders of a batch and returns what changed. An order that is missing
// in a snapshot has been withdrawn, even if the record of the withdrawal was never read, unless the store
// has lost it: then it is written again. An order
// that is withdrawn and issued again within one batch remains in effect, but its end is still
// reported, since its endpoints may have become cold.
func (e *evacuations) apply(b *follow.Batch) []evacuationChange {
	if !b.Snapshot && len(b.Records) == 0 {
		return nil
	}
	next := make(map[string]bool)
	maps.Copy(next, e.evacuatedDomains())
	present := make(map[string]bool)
	var changes []evacuationChange
	for i := range b.Records {
		r := &b.Records[i]
		domain, ok := platform.EvacuatedDomain(r.Key)
		if !ok {
			continue
		}
		evacuated := r.Value != nil
		present[domain] = evacuated
		if evacuated == next[domain] {
			continue
		}
		if evacuated {
			next[domain] = true
		} else {
			delete(next, domain)
		}
		changes = append(changes, evacuationChange{domain: domain, evacuated: evacuated, offset: r.Offset})
	}
	if b.Snapshot && !b.Restored {
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
	e.notifyEnded(changes)
	e.domains.Store(&next)
	return changes
}

// notifyEnded calls onEnd for each evacuation that ends.
func (e *evacuations) notifyEnded(changes []evacuationChange) {
	if e.onEnd == nil {
		return
	}
	for _, change := range changes {
		if !change.evacuated {
			e.onEnd(change.domain)
		}
	}
}

package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// holdThreshold is the number of endpoints that must end during a request for it to be held. Up to
	// a dozen other requests run next to it at each endpoint; it is rare that one of these is also retried
	// on the next two endpoints that end.
	holdThreshold = 3
	// firstHold is the initial duration of a hold, and maxHold the maximum. Each further endpoint that
	// ends during the request after a hold doubles the duration.
	firstHold = 10 * time.Minute
	maxHold   = 4 * time.Hour
	// retention is the time after the newest ending of a request for which its endings count, and the
	// time for which a hold is kept after its end.
	retention = time.Hour
	// maxCandidates and maxHeld limit the number of table entries, of about 150 bytes each.
	maxCandidates = 4096
	maxHeld       = 1024
)

// Ending records that an endpoint ended while it ran a request.
type Ending struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoint identifies one start of an endpoint.
	Endpoint string `json:"endpoint"`
	// Request is set if Fingerprint is the key of a part: the fingerprint of the request that had it. Account is
	// the key of its client account, and Depth the position of the part.
	Request *Fingerprint `json:"request,omitempty"`
	Account Fingerprint  `json:"account,omitzero"`
	Depth   int          `json:"depth,omitempty"`
}

// accusesPart reports whether the ending is one of a part.
func (e *Ending) accusesPart() bool { return e.Request != nil }

// Hold is a request that is held.
type Hold struct {
	Fingerprint Fingerprint
	Endpoints   []string  // starts of endpoints that ended during the request
	Since       time.Time // when the hold began at this node: when it was caused or received
	Until       time.Time
	Recorded    bool   // whether the hold is recorded on the platform
	Part        bool   // a part of prompts is held, not a request
	Node        string // node that recorded it; empty if not known
}

// Table holds a node's records of endings and of held requests. It is safe for concurrent use.
type Table struct {
	now     func() time.Time
	entries atomic.Int64 // number of entries
	// decides reports whether this node decides on the parts of an account. Nil means that it does for all.
	decides func(account Fingerprint) bool

	mu         sync.Mutex
	candidates *simplelru.LRU[Fingerprint, *candidate]
	held       *simplelru.LRU[Fingerprint, *Hold]
	parts      parts
	newParts   []Hold // held since takeNewParts was called
}

// candidate is a request with fewer endings than holdThreshold.
type candidate struct {
	endpoints []string
	newest    time.Time
}

// NewTable returns an empty table that uses now as its clock.
func NewTable(now func() time.Time) *Table {
	candidates, err := simplelru.NewLRU[Fingerprint, *candidate](maxCandidates, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	held, err := simplelru.NewLRU[Fingerprint, *Hold](maxHeld, nil)
	if err != nil {
		panic(err)
	}
	return &Table{now: now, candidates: candidates, held: held, parts: newParts()}
}

// Empty reports whether the table has no entries. If so, callers need not compute fingerprints.
func (t *Table) Empty() bool { return t.entries.Load() == 0 }

// HeldUntil returns the end of a request's hold, or the zero time if it is not held.
func (t *Table) HeldUntil(f Fingerprint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.held.Get(f)
	if !known || !t.now().Before(h.Until) {
		return time.Time{}
	}
	return h.Until
}

// RecordEnd records an ending, and reports whether the request or part becomes held by it. It is
// idempotent. Endings during a hold belong to runs that had already started, and do not prolong it.
func (t *Table) RecordEnd(e Ending) (held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCount()
	now := t.now()
	if e.accusesPart() {
		t.parts.record(e, now)
	}
	if h, known := t.held.Get(e.Fingerprint); known {
		return h.prolong(e.Endpoint, now)
	}
	if e.accusesPart() {
		return false
	}
	s, known := t.candidates.Get(e.Fingerprint)
	if !known {
		s = &candidate{}
		t.candidates.Add(e.Fingerprint, s)
	}
	if now.Sub(s.newest) > retention {
		s.endpoints = nil
	}
	if slices.Contains(s.endpoints, e.Endpoint) {
		return false
	}
	s.endpoints, s.newest = append(s.endpoints, e.Endpoint), now
	if len(s.endpoints) < holdThreshold {
		return false
	}
	t.candidates.Remove(e.Fingerprint)
	t.held.Add(e.Fingerprint, &Hold{Fingerprint: e.Fingerprint, Endpoints: s.endpoints, Since: now, Until: now.Add(firstHold)})
	return true
}

// prolong starts a new, longer hold if another endpoint ended during the request after the previous
// hold was over.
func (h *Hold) prolong(endpoint string, now time.Time) bool {
	if now.Before(h.Until) || slices.Contains(h.Endpoints, endpoint) {
		return false
	}
	h.Endpoints = append(h.Endpoints, endpoint)
	length := firstHold
	for range len(h.Endpoints) - holdThreshold {
		length = min(2*length, maxHold)
	}
	h.Since, h.Until, h.Recorded = now, now.Add(length), false
	return true
}

// ApplyHold adds a hold that is recorded on the platform. If a later end is known for it, that one is
// kept.
func (t *Table) ApplyHold(h Hold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCount()
	h.Since, h.Recorded = t.now(), true
	if before, known := t.held.Peek(h.Fingerprint); known && before.Until.After(h.Until) {
		h.Until = before.Until
	}
	t.candidates.Remove(h.Fingerprint)
	t.held.Add(h.Fingerprint, &h)
}

// Clear removes a request from the table, because an endpoint completed it, and reports whether it was
// in the table.
func (t *Table) Clear(f Fingerprint) bool {
	known, _ := t.remove(f)
	return known
}

// ClearPart is Clear for a part.
func (t *Table) ClearPart(_ Fingerprint, p Part) bool { return t.Clear(p.Key) }

// remove is Clear, but also returns the hold if it is recorded on the platform.
func (t *Table) remove(f Fingerprint) (known bool, recorded *Hold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removeLocked(f)
}

// removeLocked is remove for callers that hold t.mu.
func (t *Table) removeLocked(f Fingerprint) (known bool, recorded *Hold) {
	defer t.updateCount()
	accused := t.parts.accused.Remove(f)
	if h, held := t.held.Peek(f); held {
		t.held.Remove(f)
		if h.Recorded {
			recorded = h
		}
		return true, recorded
	}
	return t.candidates.Remove(f) || accused, nil
}

// MarkRecorded marks a hold as recorded on the platform.
func (t *Table) MarkRecorded(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, known := t.held.Peek(f); known {
		h.Recorded = true
	}
}

// markUnrecorded marks a hold as not recorded on the platform.
func (t *Table) markUnrecorded(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, known := t.held.Peek(f); known {
		h.Recorded = false
	}
}

// markAllUnrecorded is markUnrecorded for all holds.
func (t *Table) markAllUnrecorded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.held.Values() {
		h.Recorded = false
	}
}

// Endings returns the endings of requests that are not held, those of the newest request last.
func (t *Table) Endings() (list []Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.candidates.Keys() {
		s, _ := t.candidates.Peek(f)
		for _, endpoint := range s.endpoints {
			list = append(list, Ending{Fingerprint: f, Endpoint: endpoint})
		}
	}
	for _, key := range t.parts.accused.Keys() {
		a, _ := t.parts.accused.Peek(key)
		for i := range a.endings {
			list = append(list, a.endings[i].Ending)
		}
	}
	return list
}

// Holds returns all current and past holds in the table, the least recently used first.
func (t *Table) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	holds := make([]Hold, 0, t.held.Len())
	for _, h := range t.held.Values() {
		holds = append(holds, *h)
	}
	return holds
}

// HeldCount returns the number of requests that are held now.
func (t *Table) HeldCount() (count int) {
	now := t.now()
	for _, h := range t.Holds() {
		if now.Before(h.Until) {
			count++
		}
	}
	return count
}

// SuspectCount returns the number of requests that have endings but are not held.
func (t *Table) SuspectCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.candidates.Len() + t.parts.accused.Len()
}

// endings returns the endings that caused the hold.
func (h *Hold) endings() (list []Ending) {
	for _, endpoint := range h.Endpoints {
		list = append(list, Ending{Fingerprint: h.Fingerprint, Endpoint: endpoint})
	}
	return list
}

// Expired reports whether a hold ended so long ago that it is to be removed.
func (h *Hold) Expired(now time.Time) bool { return now.Sub(h.Until) > retention }

// updateCount updates the number of entries. The caller must hold t.mu.
func (t *Table) updateCount() {
	t.entries.Store(int64(t.candidates.Len() + t.held.Len() + t.parts.accused.Len()))
}

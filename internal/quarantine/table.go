package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// threshold is the number of endpoints that must have ended under a request for it to be held.
	// Up to a dozen others run beside it at each; one of them is rarely sent on to the next two
	// endpoints that end, too.
	threshold = 3
	// firstHold is how long a request is held first, and longestHold at most. Each further endpoint
	// that ends under it afterwards doubles the time.
	firstHold   = 10 * time.Minute
	longestHold = 4 * time.Hour
	// memory is how long endings count after the newest one, and after the end of a hold.
	memory = time.Hour
	// maxSuspects and maxHeld bound what is known, some 150 bytes each.
	maxSuspects = 4096
	maxHeld     = 1024
)

// Ending is the end of an endpoint while it had a request.
type Ending struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoint names one start of an endpoint.
	Endpoint string `json:"endpoint"`
}

// Hold is a request that is held.
type Hold struct {
	Fingerprint Fingerprint
	Endpoints   []string  // starts of endpoints that ended under it
	Since       time.Time // when this node knew
	Until       time.Time
	Recorded    bool   // on the platform
	Node        string // that recorded it; empty if not known
}

// Table is what a node knows of endpoints that ended, and of requests that are held. It is safe for
// concurrent use.
type Table struct {
	now   func() time.Time
	known atomic.Int64 // entries

	mu       sync.Mutex
	suspects *simplelru.LRU[Fingerprint, *suspect]
	held     *simplelru.LRU[Fingerprint, *Hold]
}

// suspect is a request under which less than threshold endpoints ended.
type suspect struct {
	endpoints []string
	newest    time.Time
}

// NewTable returns an empty table that reads the time from now.
func NewTable(now func() time.Time) *Table {
	suspects, err := simplelru.NewLRU[Fingerprint, *suspect](maxSuspects, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	held, err := simplelru.NewLRU[Fingerprint, *Hold](maxHeld, nil)
	if err != nil {
		panic(err)
	}
	return &Table{now: now, suspects: suspects, held: held}
}

// Empty reports whether nothing is known of any request, so that none needs a fingerprint.
func (t *Table) Empty() bool { return t.known.Load() == 0 }

// HeldUntil returns until when a request is held, zero if it isn't.
func (t *Table) HeldUntil(f Fingerprint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.held.Get(f)
	if !known || !t.now().Before(h.Until) {
		return time.Time{}
	}
	return h.Until
}

// Note takes an ending, and reports whether the request is held from now on and was not before. It
// may be told any number of times. Endings under a request that is held are those of runs that had
// begun: they don't prolong it.
func (t *Table) Note(e Ending) (held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	now := t.now()
	if h, known := t.held.Get(e.Fingerprint); known {
		return h.prolong(e.Endpoint, now)
	}
	s, known := t.suspects.Get(e.Fingerprint)
	if !known {
		s = &suspect{}
		t.suspects.Add(e.Fingerprint, s)
	}
	if now.Sub(s.newest) > memory {
		s.endpoints = nil
	}
	if slices.Contains(s.endpoints, e.Endpoint) {
		return false
	}
	s.endpoints, s.newest = append(s.endpoints, e.Endpoint), now
	if len(s.endpoints) < threshold {
		return false
	}
	t.suspects.Remove(e.Fingerprint)
	t.held.Add(e.Fingerprint, &Hold{Fingerprint: e.Fingerprint, Endpoints: s.endpoints, Since: now, Until: now.Add(firstHold)})
	return true
}

// prolong holds a request anew whose time was over when another endpoint ended under it.
func (h *Hold) prolong(endpoint string, now time.Time) bool {
	if now.Before(h.Until) || slices.Contains(h.Endpoints, endpoint) {
		return false
	}
	h.Endpoints = append(h.Endpoints, endpoint)
	length := firstHold
	for range len(h.Endpoints) - threshold {
		length = min(2*length, longestHold)
	}
	h.Since, h.Until, h.Recorded = now, now.Add(length), false
	return true
}

// Take takes a hold that is recorded on the platform.
func (t *Table) Take(h Hold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	h.Since, h.Recorded = t.now(), true
	if before, known := t.held.Peek(h.Fingerprint); known && before.Until.After(h.Until) {
		h.Until = before.Until
	}
	t.suspects.Remove(h.Fingerprint)
	t.held.Add(h.Fingerprint, &h)
}

// Clear forgets what is known of a request, as an endpoint ran it to a good end, and reports
// whether anything was.
func (t *Table) Clear(f Fingerprint) bool {
	known, _ := t.remove(f)
	return known
}

// remove does what Clear does, and reports whether the request was held by a record on the platform.
func (t *Table) remove(f Fingerprint) (known, recorded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	if h, held := t.held.Peek(f); held {
		t.held.Remove(f)
		return true, h.Recorded
	}
	return t.suspects.Remove(f), false
}

// Recorded notes that a hold is recorded on the platform.
func (t *Table) Recorded(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, known := t.held.Peek(f); known {
		h.Recorded = true
	}
}

// Endings returns what is known of requests that are not held, those of the newest request last.
func (t *Table) Endings() (list []Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.suspects.Keys() {
		s, _ := t.suspects.Peek(f)
		for _, endpoint := range s.endpoints {
			list = append(list, Ending{f, endpoint})
		}
	}
	return list
}

// Holds returns the requests that are or were held, the one used least lately first.
func (t *Table) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	holds := make([]Hold, 0, t.held.Len())
	for _, h := range t.held.Values() {
		holds = append(holds, *h)
	}
	return holds
}

// Held returns the number of requests that are held now.
func (t *Table) Held() (count int) {
	now := t.now()
	for _, h := range t.Holds() {
		if now.Before(h.Until) {
			count++
		}
	}
	return count
}

// Suspects returns the number of requests under which endpoints ended, too few to hold them.
func (t *Table) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Len()
}

// endings returns what the hold rests on.
func (h *Hold) endings() (list []Ending) {
	for _, endpoint := range h.Endpoints {
		list = append(list, Ending{h.Fingerprint, endpoint})
	}
	return list
}

// Expired reports whether a hold ended so long ago that it is to be forgotten.
func (h *Hold) Expired(now time.Time) bool { return now.Sub(h.Until) > memory }

// count notes the number of entries. t.mu is held.
func (t *Table) count() { t.known.Store(int64(t.suspects.Len() + t.held.Len())) }

// Package fleet holds the endpoints that a node may send requests to, and what the
// node itself has seen of each.
//
// Guarantees: an endpoint that was seen draining, or told that it drains, is never picked again before it has
// started anew, whatever older entries say later; nor is a start of an endpoint that a
// later one under the same id has replaced. Nothing that was seen of an earlier start
// counts for a later one.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// startMemory is how long the newest start of an endpoint is remembered after its entry
// is gone, so that an old entry which arrives late doesn't bring it, or one before it,
// back. Late entries are at most some heartbeats old.
const startMemory = time.Minute

// Endpoint is an endpoint's entry in the registry. It is never changed in place.
type Endpoint struct {
	ID       string
	Service  string
	Addr     string // IP:PORT
	Domain   string // failure domain
	Slots    int
	Draining bool
	ColdLeft time.Duration // how much longer it is cold: it takes few requests, and may be slow
	// Born is its start in Unix milliseconds, 0 if not said. A restart under the same ID has a
	// later one: it holds and knows nothing of before.
	Born    int64
	Weights []Weights
}

// Weights is a version of a model's weights.
type Weights struct {
	Model   string
	Version int64
}

// VersionOf returns the version of the model that the endpoint has, or 0.
func (e *Endpoint) VersionOf(model string) int64 {
	for _, w := range e.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// drained returns the entry as that of an endpoint that drains.
func (e *Endpoint) drained() *Endpoint {
	drained := *e
	drained.Draining = true
	return &drained
}

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	log zerolog.Logger

	mu      sync.Mutex
	members map[string]*Member
	atAddr  map[string]*Member // the member that was known last at each address
	newest  map[string]start   // by endpoint, also of those that are gone
	// together is the number of Together calls under way, and stale is true where the view lacks
	// what they changed.
	together int
	stale    bool
	rebuilds int // views ever made
	view     atomic.Pointer[view]
}

// start is the newest start of an endpoint.
type start struct {
	born     int64 // Unix milliseconds, 0 if not said
	draining bool  // it was seen draining, or told that it drains
	seen     time.Time
	// load is what this node has under way there, also while its entry is missing: one that is
	// back after a lapse has the same runs.
	load *Load
	// signals are what it told of itself, for the same reason.
	signals *Signals
}

// New returns an empty fleet.
func New(log zerolog.Logger) *Fleet {
	f := &Fleet{log: log, members: make(map[string]*Member), atAddr: make(map[string]*Member), newest: make(map[string]start)}
	f.view.Store(&view{})
	return f
}

// Update takes an endpoint's entry. One of an earlier start than the newest known is dropped,
// as it arrived late, and so is one that names no start though the endpoint does.
func (f *Fleet) Update(e *Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.newest[e.ID]
	e, current := f.date(e, now)
	if !current {
		return
	}
	if !known {
		f.succeed(e, now)
	}
	m := f.members[e.ID]
	if m != nil && m.at(e) {
		before := m.Endpoint()
		m.take(e, now)
		m.lapsed = time.Time{}
		if before.Draining == e.Draining {
			return // a heartbeat, which changes no list
		}
	} else {
		f.replace(m, e, now)
	}
	f.log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Str("service", e.Service).
		Str("addr", e.Addr).Int64("born", e.Born).Bool("draining", e.Draining).Send()
	f.rebuild()
}

// Outdated reports whether Update drops an entry.
func (f *Fleet) Outdated(e *Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.newest[e.ID].born
	if e.Born >= newest {
		return false
	}
	f.log.Info().Str("event", "endpoint_outdated").Str("endpoint", e.ID).Int64("born", e.Born).Int64("newest", newest).Send()
	return true
}

// date returns the entry with what is known of its start, and false where a later start is
// known. An entry without a start is not the endpoint's own where that has said one before.
func (f *Fleet) date(e *Endpoint, now time.Time) (dated *Endpoint, current bool) {
	newest := f.newest[e.ID]
	switch {
	case e.Born < newest.born:
		return e, false
	case e.Born > newest.born:
		newest = start{born: e.Born}
	}
	newest.draining = newest.draining || e.Draining
	newest.seen = now
	if newest.load == nil {
		newest.load, newest.signals = &Load{}, &Signals{}
	}
	f.newest[e.ID] = newest
	if e.Draining == newest.draining {
		return e, true
	}
	return e.drained(), true
}

// replace puts the member of an entry in the place of the one before, which may be nil.
// Requests that are under way there go on.
func (f *Fleet) replace(before *Member, e *Endpoint, now time.Time) {
	m := newMember(e, now)
	if before != nil {
		if before.Born == e.Born {
			m = before.moved(e, now)
		}
		before.Pool.CloseIdle()
		f.leave(before)
	}
	m.Load, m.Signals = f.newest[e.ID].load, f.newest[e.ID].signals
	f.members[e.ID] = m
	f.atAddr[e.Addr] = m
}

// succeed has the endpoint be avoided whose address an endpoint that was never known has now: it has
// ended, though its entry stays for some heartbeats. It isn't dropped, as a late entry of one that
// ended before may look the same.
func (f *Fleet) succeed(e *Endpoint, now time.Time) {
	before := f.atAddr[e.Addr]
	if before == nil || f.members[before.ID] != before {
		return
	}
	before.Ends(now)
	f.log.Info().Str("event", "endpoint_succeeded").Str("endpoint", before.ID).Str("by", e.ID).Str("addr", e.Addr).Send()
}

// Drain notes that an endpoint told in an answer to this node that it drains. It counts as draining until it
// starts anew, whatever its entry says, now or once the registry is back. It reports whether that is
// news.
func (f *Fleet) Drain(m *Member, now time.Time) (news bool) {
	if !m.Signals.SetDraining(now) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.newest[m.ID]
	if !known || s.born != m.Born {
		return true // a later start has taken its place, which told nothing
	}
	s.draining = true
	f.newest[m.ID] = s
	if listed := f.members[m.ID]; listed != nil && listed.Born == m.Born {
		listed.drain()
		f.rebuild()
	}
	return true
}

// Remove takes an endpoint off at once.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, known := f.members[id]; known {
		f.drop(m)
		f.rebuild()
	}
}

// leave notes that a member is no more what is known at its address.
func (f *Fleet) leave(m *Member) {
	if addr := m.Endpoint().Addr; f.atAddr[addr] == m {
		delete(f.atAddr, addr)
	}
}

// drop forgets a member. Requests that are under way at it go on.
func (f *Fleet) drop(m *Member) {
	delete(f.members, m.ID)
	f.leave(m)
	m.Pool.CloseIdle()
	f.log.Info().Str("event", "endpoint_gone").Str("endpoint", m.ID).Str("service", m.Service).Send()
}

// Missing returns the endpoints that are not in ids.
func (f *Fleet) Missing(ids map[string]bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var missing []string
	for id := range f.members {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire ends lapses, and drops what was believed beyond entries that are newer. It is called
// with the registry's copy current.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLapses(now)
	for _, m := range f.members {
		if m.lapsed.IsZero() {
			m.settle(now)
		}
	}
	for id, s := range f.newest {
		if _, listed := f.members[id]; !listed && now.Sub(s.seen) > startMemory {
			delete(f.newest, id)
		}
	}
}

// Package fleet holds the endpoints that a node may send requests to, and what the
// node itself has seen of each.
//
// Guarantees: an endpoint that was seen draining is never picked again before it has
// started anew, whatever older entries say later; nor is a start of an endpoint that a
// later one under the same id has replaced. Nothing that was seen of an earlier start
// counts for a later one. An entry that was removed while the registry was away stays
// usable for LapseHold, since a living endpoint puts it back by then; after that it is
// gone.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// LapseHold is how long an entry that was found missing after an outage of the
// registry is still used: living endpoints put theirs back within about 2 s, and
// a request must not reach one that is gone later than the drain bound, 2 s.
const LapseHold = 1900 * time.Millisecond

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
	ColdLeft time.Duration // how much longer it is slow after its start
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

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	log zerolog.Logger

	mu      sync.Mutex
	members map[string]*Member
	newest  map[string]start // by endpoint, also of those that are gone
	view    atomic.Pointer[view]
}

// start is the newest start of an endpoint.
type start struct {
	born     int64 // Unix milliseconds, 0 if not said
	draining bool  // it was seen draining
	seen     time.Time
}

// view is the immutable list that requests read.
type view struct {
	byService map[string][]*Member
}

// New returns an empty fleet.
func New(log zerolog.Logger) *Fleet {
	f := &Fleet{log: log, members: make(map[string]*Member), newest: make(map[string]start)}
	f.view.Store(&view{})
	return f
}

// Members returns the endpoints of a service that take requests. The caller must
// not change the slice.
func (f *Fleet) Members(service string) []*Member { return f.view.Load().byService[service] }

// All returns every endpoint that takes requests.
func (f *Fleet) All() []*Member {
	var all []*Member
	for _, members := range f.view.Load().byService {
		all = append(all, members...)
	}
	return all
}

// Empty reports whether no endpoint is known.
func (f *Fleet) Empty() bool { return len(f.view.Load().byService) == 0 }

// Update takes an endpoint's entry. One of an earlier start than the newest known is dropped,
// as it arrived late, and so is one that names no start though the endpoint does.
func (f *Fleet) Update(e *Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, current := f.date(e, now)
	if !current {
		f.log.Info().Str("event", "endpoint_outdated").Str("endpoint", e.ID).Int64("born", e.Born).
			Int64("newest", f.newest[e.ID].born).Send()
		return
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
	f.newest[e.ID] = newest
	if e.Draining == newest.draining {
		return e, true
	}
	drained := *e
	drained.Draining = true
	return &drained, true
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
	}
	f.members[e.ID] = m
}

// Remove takes an endpoint off. Where the entry may only have lapsed during an
// outage of the registry, lapsed is true and it stays for LapseHold.
func (f *Fleet) Remove(id string, lapsed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[id]
	if !known {
		return
	}
	if lapsed && !m.Endpoint().Draining {
		if m.lapsed.IsZero() {
			m.lapsed = now
			f.log.Info().Str("event", "endpoint_lapsed").Str("endpoint", id).Send()
		}
		return
	}
	f.drop(m)
	f.rebuild()
}

// drop forgets a member. Requests that are under way at it go on.
func (f *Fleet) drop(m *Member) {
	delete(f.members, m.ID)
	m.Pool.CloseIdle()
	f.log.Info().Str("event", "endpoint_gone").Str("endpoint", m.ID).Str("service", m.Service).Send()
}

// Retain removes all endpoints that are not in ids, as Remove does.
func (f *Fleet) Retain(ids map[string]bool, lapsed bool, now time.Time) {
	f.mu.Lock()
	var missing []string
	for id := range f.members {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	f.mu.Unlock()
	for _, id := range missing {
		f.Remove(id, lapsed, now)
	}
}

// Expire drops the endpoints whose entries have lapsed for longer than LapseHold, and what
// was believed beyond entries that are newer. It is called with the registry's copy current.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, m := range f.members {
		switch {
		case m.lapsed.IsZero():
			m.settle(now)
		case now.Sub(m.lapsed) >= LapseHold:
			f.drop(m)
			changed = true
		}
	}
	for id, s := range f.newest {
		if _, listed := f.members[id]; !listed && now.Sub(s.seen) > startMemory {
			delete(f.newest, id)
		}
	}
	if changed {
		f.rebuild()
	}
}

// rebuild makes the list that requests read, in the order of the endpoints' ids.
func (f *Fleet) rebuild() {
	v := &view{byService: make(map[string][]*Member)}
	for _, m := range f.members {
		if !m.Endpoint().Draining {
			v.byService[m.Service] = append(v.byService[m.Service], m)
		}
	}
	for _, members := range v.byService {
		slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	}
	f.view.Store(v)
}

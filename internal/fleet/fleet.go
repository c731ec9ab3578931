// Package fleet holds the endpoints that a node may send requests to, and what the
// node itself has seen of each.
//
// Guarantees: an endpoint that was seen draining is never picked again under the
// same id, whatever older entries say later. An entry that was removed while the
// registry was away stays usable for LapseHold, since a living endpoint puts it
// back by then; after that it is gone.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/upstream"
)

// LapseHold is how long an entry that was found missing after an outage of the
// registry is still used: living endpoints put theirs back within about 2 s, and
// a request must not reach one that is gone later than the drain bound, 2 s.
const LapseHold = 1900 * time.Millisecond

// drainedMemory is how long the ids of drained endpoints are remembered, so that
// an old entry which arrives late doesn't bring one back. Late entries are at
// most some heartbeats old.
const drainedMemory = time.Minute

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

// Member is an endpoint with what this node has seen of it. It is safe for
// concurrent use.
type Member struct {
	ID      string
	Service string
	Pool    *upstream.Pool
	Health  Health
	Load    Load

	entry   atomic.Pointer[Endpoint]
	version atomic.Pointer[Weights] // seen in answers, newer than the entry
	lapsed  time.Time               // guarded by Fleet.mu; zero while listed
}

// Endpoint returns the newest entry.
func (m *Member) Endpoint() *Endpoint { return m.entry.Load() }

// VersionOf returns the version of the model that the endpoint is believed to have.
func (m *Member) VersionOf(model string) int64 {
	version := m.Endpoint().VersionOf(model)
	if seen := m.version.Load(); seen != nil && seen.Model == model {
		version = max(version, seen.Version)
	}
	return version
}

// Seen returns the weights that answers named and the entry doesn't yet, or nil.
func (m *Member) Seen() *Weights {
	seen := m.version.Load()
	if seen == nil || seen.Version <= m.Endpoint().VersionOf(seen.Model) {
		return nil
	}
	return seen
}

// SawVersion notes the version that an answer named.
func (m *Member) SawVersion(model string, version int64) {
	if version > m.VersionOf(model) {
		m.version.Store(&Weights{Model: model, Version: version})
	}
}

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	log zerolog.Logger

	mu       sync.Mutex
	members  map[string]*Member
	draining map[string]time.Time // when an id was first seen draining
	view     atomic.Pointer[view]
}

// view is the immutable list that requests read.
type view struct {
	byService map[string][]*Member
}

// New returns an empty fleet.
func New(log zerolog.Logger) *Fleet {
	f := &Fleet{log: log, members: make(map[string]*Member), draining: make(map[string]time.Time)}
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

// Update takes an endpoint's entry.
func (f *Fleet) Update(e *Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, drained := f.draining[e.ID]; drained && !e.Draining {
		stale := *e
		stale.Draining = true
		e = &stale
	}
	m, known := f.members[e.ID]
	if !known {
		m = &Member{ID: e.ID, Service: e.Service, Pool: upstream.NewPool(e.Addr)}
		f.members[e.ID] = m
	}
	before := m.entry.Load()
	m.entry.Store(e)
	m.lapsed = time.Time{}
	if e.Draining {
		f.noteDraining(e.ID, now)
	}
	if before != nil && before.Draining == e.Draining {
		return // a heartbeat, which changes no list
	}
	f.log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Str("service", e.Service).
		Str("addr", e.Addr).Bool("draining", e.Draining).Send()
	f.rebuild()
}

func (f *Fleet) noteDraining(id string, now time.Time) {
	if _, known := f.draining[id]; !known {
		f.draining[id] = now
	}
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

// Expire drops the endpoints whose entries have lapsed for longer than LapseHold.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, m := range f.members {
		if !m.lapsed.IsZero() && now.Sub(m.lapsed) >= LapseHold {
			f.drop(m)
			changed = true
		}
	}
	for id, since := range f.draining {
		if _, listed := f.members[id]; !listed && now.Sub(since) > drainedMemory {
			delete(f.draining, id)
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

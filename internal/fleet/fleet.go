// Package fleet holds the endpoints that a node may send requests to, and what this node has observed
// of each.
//
// Guarantees: an endpoint whose entry or answer reported that it drains is not selected again before
// it has restarted, whatever older entries state later. A start of an endpoint is not selected again once a
// later start under the same id has replaced it. Observations of one start are not applied to a later
// one.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/loglimit"
	"github.com/cherryward/cherryward/internal/upstream"
)

// startRetention is how long the record of an endpoint's newest start is kept after its entry is gone, so
// that a late entry of the same or an earlier start does not add the endpoint again. Late entries
// are at most a few heartbeats old.
const startRetention = time.Minute

// Endpoint is an endpoint's entry in the registry. It is immutable.
type Endpoint struct {
	ID       string
	Service  string
	Addr     string // IP:PORT
	Domain   string // failure domain
	Slots    int
	Draining bool
	Release  string        // version of its software
	ColdLeft time.Duration // remaining cold period, in which it accepts few requests and may be slow
	// StartedMs is the start time in Unix milliseconds, 0 if not reported. A restart under the same
	// ID has a later one and shares no state with the previous start.
	StartedMs int64
	Weights   []Weights
}

// Weights is a version of a model's weights.
type Weights struct {
	Model   string
	Version int64
}

// VersionOf returns the version of the model in the entry, or 0 if the entry does not list the model.
func (e *Endpoint) VersionOf(model string) int64 {
	for _, w := range e.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// drained returns a copy of the entry marked as draining.
func (e *Endpoint) drained() *Endpoint {
	drained := *e
	drained.Draining = true
	return &drained
}

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	// Connections are the options of the connections to endpoints. They must be set before the first Update.
	Connections upstream.Options

	log zerolog.Logger
	// entryLog logs what single entries show. Other processes may write any number of these.
	entryLog zerolog.Logger

	mu      sync.Mutex
	members map[string]*Member
	byAddr  map[string]*Member // the latest member at each address
	latest  map[string]start   // latest start by endpoint id, also of removed endpoints
	// openBatches is the number of UpdateBatch calls in progress. stale is true if the view lacks
	// changes made in them.
	openBatches int
	stale       bool
	rebuilds    int // number of views built so far
	changes     changeLog
	view        atomic.Pointer[view]
}

// start is the latest start of an endpoint.
type start struct {
	startedMs int64 // Unix milliseconds, 0 if not reported
	draining  bool  // its entry or one of its answers reported that it drains
	lastSeen  time.Time
	// load counts this node's requests in flight at this start. It is kept while the entry is missing,
	// because an endpoint whose entry reappears after a lapse still runs them.
	load *Load
	// signals are the reports in its answers, kept for the same reason.
	signals *Signals
}

// New returns an empty fleet.
func New(log zerolog.Logger) *Fleet {
	f := &Fleet{log: log, entryLog: loglimit.Bound(log), members: make(map[string]*Member), byAddr: make(map[string]*Member), latest: make(map[string]start)}
	f.view.Store(&view{})
	return f
}

// Update applies an endpoint's entry. An entry of an earlier start than the latest known one has
// arrived late and is dropped, and so is an entry without a start time if the endpoint has reported one
// before.
func (f *Fleet) Update(e *Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.latest[e.ID]
	e, current := f.recordStart(e, now)
	if !current {
		return
	}
	if !known {
		f.markAddressReused(e, now)
	}
	m := f.members[e.ID]
	if m != nil && m.matches(e) {
		previous := m.Endpoint()
		m.applyEntry(e, now)
		m.lapseEnds = time.Time{}
		if previous.Draining == e.Draining {
			return // heartbeat only; the view is unchanged
		}
	} else {
		f.replace(m, e, now)
	}
	if line := f.changes.line(changeListed, e.Service, &f.log); line != nil {
		line.Str("endpoint", e.ID).Str("addr", e.Addr).Str("release", e.Release).Int64("born", e.StartedMs).Bool("draining", e.Draining).Send()
	}
	f.rebuild()
}

// Outdated reports whether Update would drop an entry because it is of an earlier start, and logs it if
// so.
func (f *Fleet) Outdated(e *Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.latest[e.ID].startedMs
	if e.StartedMs >= newest {
		return false
	}
	f.entryLog.Info().Str("event", "endpoint_outdated").Str("endpoint", e.ID).Int64("born", e.StartedMs).Int64("newest", newest).Send()
	return true
}

// recordStart records the start of an entry and returns the entry, marked as draining if that start has
// reported that it drains. It returns false if a later start is known; an entry without a start time
// counts as earlier than any with one.
func (f *Fleet) recordStart(e *Endpoint, now time.Time) (marked *Endpoint, current bool) {
	newest := f.latest[e.ID]
	switch {
	case e.StartedMs < newest.startedMs:
		return e, false
	case e.StartedMs > newest.startedMs:
		previous := newest.signals
		newest = start{startedMs: e.StartedMs, load: &Load{}, signals: &Signals{}}
		newest.signals.keepReports(previous, time.UnixMilli(e.StartedMs))
		_, newest.draining = newest.signals.Draining()
	}
	newest.draining = newest.draining || e.Draining
	newest.lastSeen = now
	if newest.load == nil {
		newest.load, newest.signals = &Load{}, &Signals{}
	}
	f.latest[e.ID] = newest
	if e.Draining == newest.draining {
		return e, true
	}
	return e.drained(), true
}

// replace installs a member for the entry in place of previous, which may be nil. Requests in flight
// at the previous member continue.
func (f *Fleet) replace(previous *Member, e *Endpoint, now time.Time) {
	m := newMember(e, f.Connections, now)
	if previous != nil {
		if previous.StartedMs == e.StartedMs {
			m = previous.moved(e, f.Connections, now)
		}
		previous.Pool.CloseIdle()
		f.clearAddr(previous)
	}
	m.Load, m.Signals = f.latest[e.ID].load, f.latest[e.ID].signals
	f.members[e.ID] = m
	f.byAddr[e.Addr] = m
}

// markAddressReused records that the endpoint which had the address of e, a newly seen endpoint, has
// ended, though its entry remains for some heartbeats. The old member is not removed, because a late
// entry of an endpoint that ended earlier can look the same.
func (f *Fleet) markAddressReused(e *Endpoint, now time.Time) {
	previous := f.byAddr[e.Addr]
	if previous == nil || f.members[previous.ID] != previous {
		return
	}
	previous.MarkEnded(now)
	f.entryLog.Info().Str("event", "endpoint_succeeded").Str("endpoint", previous.ID).Str("by", e.ID).Str("addr", e.Addr).Send()
}

// MarkDraining records that an endpoint reported in an answer to this node that it drains. It counts as
// draining until it restarts, whatever its entry states, also after a registry outage. MarkDraining
// reports whether this start had not reported it before.
func (f *Fleet) MarkDraining(m *Member, now time.Time) (first bool) {
	if !m.Signals.MarkDraining(now) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.latest[m.ID]
	if !known || s.startedMs != m.StartedMs {
		return true // the start was removed, or replaced by a later one, which has not reported draining
	}
	s.draining = true
	f.latest[m.ID] = s
	if listed := f.members[m.ID]; listed != nil && listed.StartedMs == m.StartedMs {
		listed.drain()
		f.rebuild()
	}
	return true
}

// Remove removes an endpoint immediately.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, known := f.members[id]; known {
		f.removeMember(m)
		f.rebuild()
	}
}

// clearAddr removes a member from the address index unless another member has the address now.
func (f *Fleet) clearAddr(m *Member) {
	if addr := m.Endpoint().Addr; f.byAddr[addr] == m {
		delete(f.byAddr, addr)
	}
}

// removeMember removes a member. Requests in flight at it continue.
func (f *Fleet) removeMember(m *Member) {
	delete(f.members, m.ID)
	f.clearAddr(m)
	m.Pool.CloseIdle()
	if line := f.changes.line(changeGone, m.Service, &f.log); line != nil {
		line.Str("endpoint", m.ID).Send()
	}
}

// Missing returns the ids of the known endpoints that are not in ids.
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

// Expire removes endpoints whose lapse period is over and discards outdated weight estimates and start
// records. Call it only while the registry copy is current.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLapses(now)
	for _, m := range f.members {
		if m.lapseEnds.IsZero() {
			m.expireEstimate(now)
		}
	}
	for id, s := range f.latest {
		if _, listed := f.members[id]; !listed && now.Sub(s.lastSeen) > startRetention {
			delete(f.latest, id)
		}
	}
}

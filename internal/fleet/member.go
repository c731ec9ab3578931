package fleet

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cherryward/cherryward/internal/upstream"
)

// Member is one start of an endpoint at one address, with this node's observations of it. Each start of
// an endpoint has its own Member, also under the same id, so that requests in flight at an old start
// continue and are counted there. It is safe for concurrent use.
type Member struct {
	ID      string
	Service string
	// StartedMs is the endpoint's start time in Unix milliseconds, 0 if not reported.
	StartedMs int64
	Pool      *upstream.Pool
	Health    Health
	// Load counts this node's requests in flight at this start of the endpoint, whatever its address.
	Load *Load
	// Signals are the reports in answers of this start of the endpoint, whatever its address.
	Signals *Signals

	cold  atomic.Pointer[time.Time] // end of the cold period; nil if it was never cold
	ended atomic.Bool               // the endpoint was seen to have ended and has not answered since

	endedCheck singleflight.Group // deduplicates concurrent Ended calls
	entry      atomic.Pointer[Endpoint]
	lapseEnds  time.Time // when to remove an endpoint whose entry is missing; guarded by Fleet.mu; zero while listed

	mu             sync.Mutex
	estimate       atomic.Pointer[weightsEstimate] // written under mu; nil while the entry applies
	weightsChanged time.Time                       // when the entry's weights last changed; guarded by mu
	// endMark is the cold period that was set when the endpoint was seen to have ended; nil if none was;
	// guarded by mu.
	endMark *coldMark
}

// newMember returns a member with an entry and no observations.
func newMember(e *Endpoint, connections upstream.Options, now time.Time) *Member {
	m := &Member{ID: e.ID, Service: e.Service, StartedMs: e.StartedMs, Pool: upstream.NewPool(e.Addr, connections), Load: &Load{}, Signals: &Signals{}, weightsChanged: now}
	m.entry.Store(e)
	m.applyColdLeft(nil, e, now)
	return m
}

// moved returns the member of the same start at another address or of another service. Requests in
// flight, reports, the weights estimate and the cold period are carried over.
func (m *Member) moved(e *Endpoint, connections upstream.Options, now time.Time) *Member {
	next := newMember(e, connections, now)
	next.Load, next.Signals = m.Load, m.Signals
	next.entry.Store(m.Endpoint())
	next.estimate.Store(m.estimate.Load())
	next.MarkCold(m.ColdUntil())
	next.applyEntry(e, now)
	return next
}

// matches reports whether the entry has the same start, address, service and release as this member.
func (m *Member) matches(e *Endpoint) bool {
	current := m.Endpoint()
	return m.StartedMs == e.StartedMs && current.Addr == e.Addr && current.Service == e.Service && current.Release == e.Release
}

// Endpoint returns the latest entry.
func (m *Member) Endpoint() *Endpoint { return m.entry.Load() }

// drain marks the latest entry as draining.
func (m *Member) drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry.Store(m.Endpoint().drained())
}

// StartID returns an identifier of this start of the endpoint, the same on all nodes.
func (m *Member) StartID() string { return m.ID + "@" + strconv.FormatInt(m.StartedMs, 10) }

// endedCheckTimeout limits the connection attempt that checks whether an endpoint ended, as a retry may
// wait for it. A refusal takes a few milliseconds, or longer on a small host that loses many runs at
// once.
const endedCheckTimeout = 300 * time.Millisecond

// Ended checks whether the endpoint ended, by a connection attempt: it reports whether the endpoint's
// address refuses connections. All runs of an endpoint fail at the same time when it ends, so concurrent
// calls share one attempt.
func (m *Member) Ended() bool {
	ended, _, _ := m.endedCheck.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
		defer cancel()
		return m.Pool.RefusesConnections(ctx), nil
	})
	return ended.(bool)
}

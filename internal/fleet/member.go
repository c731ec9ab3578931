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

// Member is one start of an endpoint at one address, with what this node has seen of it. An
// endpoint that starts again has another Member, also under the same id: requests that are
// under way at the old one go on and count there. It is safe for concurrent use.
type Member struct {
	ID      string
	Service string
	// Born is the endpoint's start in Unix milliseconds, 0 if not said.
	Born   int64
	Pool   *upstream.Pool
	Health Health
	// Load is what this node has under way at this start of the endpoint, whatever its address.
	Load *Load
	// Signals are what this start of the endpoint has told of itself, whatever its address.
	Signals *Signals

	cold atomic.Pointer[time.Time] // until when it is cold; nil where it was never
	down atomic.Bool               // it had ended when this node last looked

	looks  singleflight.Group // whether the endpoint ended
	entry  atomic.Pointer[Endpoint]
	lapsed time.Time // until when it stays without an entry; guarded by Fleet.mu; zero while listed

	mu     sync.Mutex
	belief atomic.Pointer[belief] // written under mu; nil while the entry is believed
	listed time.Time              // guarded by mu; when the entry's weights changed
}

// newMember returns a member that nothing but its entry is known of.
func newMember(e *Endpoint, now time.Time) *Member {
	m := &Member{ID: e.ID, Service: e.Service, Born: e.Born, Pool: upstream.NewPool(e.Addr), Load: &Load{}, Signals: &Signals{}, listed: now}
	m.entry.Store(e)
	m.heed(nil, e, now)
	return m
}

// moved returns the member of the same start at another address, or of another service. What is
// under way at the server and the weights that it has stay as they are.
func (m *Member) moved(e *Endpoint, now time.Time) *Member {
	next := newMember(e, now)
	next.Load, next.Signals = m.Load, m.Signals
	next.entry.Store(m.Endpoint())
	next.belief.Store(m.belief.Load())
	next.Chill(m.ColdUntil())
	next.take(e, now)
	return next
}

// at reports whether the entry is of this start and leaves requests where they go.
func (m *Member) at(e *Endpoint) bool {
	now := m.Endpoint()
	return m.Born == e.Born && now.Addr == e.Addr && now.Service == e.Service
}

// Endpoint returns the newest entry.
func (m *Member) Endpoint() *Endpoint { return m.entry.Load() }

// drain has the newest entry be that of an endpoint that drains.
func (m *Member) drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry.Store(m.Endpoint().drained())
}

// Start returns a name of this start of the endpoint, the same at all nodes.
func (m *Member) Start() string { return m.ID + "@" + strconv.FormatInt(m.Born, 10) }

// endedTimeout bounds the look whether an endpoint ended, for which a repeat may wait. A refusal takes
// some ms, and longer on a small host that loses many runs at once.
const endedTimeout = 300 * time.Millisecond

// Ended reports whether the endpoint has ended, as far as that shows at its address. When it ends
// all its runs break off at once: these share one look.
func (m *Member) Ended() bool {
	ended, _, _ := m.looks.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
		defer cancel()
		return m.Pool.Refuses(ctx), nil
	})
	return ended.(bool)
}

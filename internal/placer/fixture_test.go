package placer_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	model = "m"
	store = "10.9.0.1:1"
	limit = 12 * time.Second
	home  = "e2" // home engine of the query's session among e0, e1 and e2
)

// fakeEvents returns each holder's events once, by the holder's address.
type fakeEvents map[string][]kvindex.Change

func (s fakeEvents) Events(_ context.Context, addr string, since int64, _ time.Duration) (kvindex.Events, error) {
	e := kvindex.Events{Epoch: 1, Next: 1, ClockMS: 1000}
	if since == 0 {
		e.Changes = s[addr]
	}
	return e, nil
}

func (fakeEvents) Free(context.Context, string, kvindex.FreeOrder) error { return nil }

// versions returns the version of the weights that the operators want, and how long ago it was
// published.
type versions struct {
	wanted int64
	age    time.Duration
}

func (v *versions) Wanted(string) (int64, time.Time) { return v.wanted, time.Now().Add(-v.age) }

func (v *versions) Replaced(_ string, version int64) (time.Time, bool) {
	return time.Now().Add(-v.age), version < v.wanted
}

// fixture is a placer in a small system of engines and one store, with its fakes.
type fixture struct {
	*placer.Placer
	versions     *versions
	members      []*fleet.Member
	mayReference bool
	closed       []weights.Closed
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// newFixture returns a fixture with engines that have the given versions of the weights, and a
// store. The store keeps a part of an unrelated prompt if events lists none for it.
func newFixture(t *testing.T, events fakeEvents, weightVersions ...int64) *fixture {
	t.Helper()
	if events[store] == nil {
		events = maps.Clone(events)
		events[store] = []kvindex.Change{{Part: kvindex.Part{Salt: salt(1, ""), ID: "another's"}, Tokens: 64}}
	}
	fx := &fixture{versions: &versions{wanted: 1}, mayReference: true}
	f := fleet.New(zerolog.Nop())
	index := kvindex.NewIndex(events, func(*kvindex.Holder) (time.Duration, time.Duration) { return time.Second, time.Second }, zerolog.Nop())
	var engines []*kvindex.Holder
	for i, version := range weightVersions {
		id := fmt.Sprint("e", i)
		f.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: addr(i), Domain: "north", Weights: []fleet.Weights{{Model: model, Version: version}}}, time.Now())
		h := kvindex.NewHolder(id, addr(i), "north")
		h.Mbps = 1_000_000
		engines = append(engines, h)
	}
	keep := kvindex.NewHolder(store, store, "north")
	keep.Mbps, keep.Tokens = 300_000, 1_000_000
	ctx, cancel := context.WithCancel(t.Context())
	index.Follow(ctx, engines, []*kvindex.Holder{keep})
	t.Cleanup(func() { cancel(); index.Wait() })
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return indexComplete(index, events) }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	fx.Placer = newPlacer(f, index)
	fx.Versions = fx.versions
	fx.MayReference = func(kvindex.Salt) bool { return fx.mayReference }
	fx.Closed = func() []weights.Closed { return fx.closed }
	fx.members = f.Members("s")
	return fx
}

// newPlacer returns the placer of a node in a small system of three nodes whose wanted version of
// the weights is 1.
func newPlacer(f *fleet.Fleet, index *kvindex.Index) *placer.Placer {
	return &placer.Placer{
		Domain: "north", Fleet: f, Versions: &versions{wanted: 1}, KVIndex: index, PeerLoads: peerload.NewTable(), RequestReport: func() {}, CommonDelay: &kvindex.Lateness{}, FullMesh: func() bool { return true },
		MayReference:      func(kvindex.Salt) bool { return true },
		Closed:            func() []weights.Closed { return nil },
		VersionApplyLimit: func() time.Duration { return limit },
		Services:          &placer.Services{}, Nodes: func() int { return 3 }, Now: time.Now, Random: rand.Float64,
	}
}

// indexComplete reports whether the index has received all events.
func indexComplete(index *kvindex.Index, s fakeEvents) bool {
	holders := index.Stores()
	for _, h := range index.Engines() {
		holders = append(holders, h)
	}
	for _, h := range holders {
		for _, c := range s[h.Addr] {
			if h.Has(c.Part) != c.Tokens {
				return false
			}
		}
	}
	return index.ClockMS() > 0
}

func salt(version int64, account string) string {
	return kvindex.Salt{Model: model, Version: version, Account: account}.String()
}

// query returns a query for a prompt of three parts, of which the first two are shared.
func query() *forward.Query {
	return &forward.Query{
		Route:   &routing.Route{Priority: 2},
		Service: &routing.Service{Name: "s", Engine: &routing.Engine{TokenBytes: 35136}},
		Account: &routing.Account{Name: "yard"},
		Attributes: &forward.Attributes{Model: model, OutputTokens: 400, Parts: []forward.Part{
			{ID: "common", Tokens: 500}, {ID: "session", Tokens: 9000}, {ID: "own", Tokens: 2000},
		}},
	}
}

// shared returns the events of a holder that keeps the shared parts of query.
func shared(version int64, account string) []kvindex.Change {
	return []kvindex.Change{
		{Part: kvindex.Part{Salt: salt(version, account), ID: "common"}, Tokens: 500},
		{Part: kvindex.Part{Salt: salt(version, account), ID: "session"}, Tokens: 9000},
	}
}

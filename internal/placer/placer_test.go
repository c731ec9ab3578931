package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/weights"
)

func TestPrefersEngineWithCachedParts(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(2): shared(1, "")}, 1, 1, 1)
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, home, p.Member.ID)
	test.Eq(t, 2000, p.PrefillTokens)
	test.Eq(t, "cached", p.Reason)
	test.Eq(t, 1, p.Attempt.Version)
}

// TestFetchesPartsFromBusyEngine checks that parts are fetched from a busy engine instead of
// queueing there.
func TestFetchesPartsFromBusyEngine(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(1): shared(1, "")}, 1, 1, 1)
	for _, m := range fx.members {
		if m.ID == "e1" {
			m.Load.Begin(100_000, 0)
		}
	}
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.NotEq(t, "e1", p.Member.ID)
	test.Eq(t, []string{addr(1), addr(1), ""}, p.Attempt.Sources)
	test.Eq(t, 0, p.Attempt.FetchUntil, test.Sprint("only fetches from stores have a timeout"))
}

func TestFetchesFromStore(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1, 1, 1)
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, []string{store, store, ""}, p.Attempt.Sources)
	test.Greater(t, 1000, p.Attempt.FetchUntil)
	test.Nil(t, p.Attempt.Targets, test.Sprint("parts that the store keeps are not saved again"))
	fx.mayReference = false
	p, ok = fx.Place(query())
	must.True(t, ok)
	test.Nil(t, p.Attempt.Sources, test.Sprint("a part that the store may free is not referenced"))
}

// TestBacksUpCachedParts checks that the store is referenced as a backup source for parts the
// engine is expected to hold, as they may have been evicted, and the fastest holder for missing
// parts.
func TestBacksUpCachedParts(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(2): shared(1, ""), addr(1): shared(1, ""), store: shared(1, "")}, 1, 1, 1)
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, "cached", p.Reason)
	test.Eq(t, []string{store, store, ""}, p.Attempt.Sources)
	test.Greater(t, 1000, p.Attempt.FetchUntil)
	test.Eq(t, 9500, p.Cached)
	for _, m := range fx.members {
		if m.ID != "e0" {
			m.Load.Begin(100_000, 0)
		}
	}
	p, ok = fx.Place(query())
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)
	test.Eq(t, []string{addr(1), addr(1), ""}, p.Attempt.Sources, test.Sprint("the fastest of the holders"))
}

func TestSavesSharedParts(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, []string{store, store, ""}, p.Attempt.Targets)
	p, ok = fx.Place(query())
	must.True(t, ok)
	test.Nil(t, p.Attempt.Targets, test.Sprint("the save is in progress"))
}

// TestFullStoreIsSkipped checks that a part is saved at a store with room if the store chosen by
// size is full. Stores fill unevenly, as parts differ in size.
func TestFullStoreIsSkipped(t *testing.T) {
	const large, small = "10.9.0.2:1", "10.9.0.3:1"
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	full := kvindex.NewHolder(large, large, "north")
	full.Tokens = 1_000_000_000
	roomy := kvindex.NewHolder(small, small, "north")
	roomy.Tokens = 20_000
	fx.KVIndex.Replace(nil, []*kvindex.Holder{full, roomy})
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, []string{large, large, ""}, p.Attempt.Targets)
	p.RecordFailure()
	fx.KVIndex.Apply(full, &kvindex.Events{Epoch: 1, Next: 2, Changes: []kvindex.Change{{Number: 1, Part: kvindex.Part{Salt: "s", ID: "x"}, Tokens: full.Tokens}}, ClockMS: 1})
	p, ok = fx.Place(query())
	must.True(t, ok)
	test.Eq(t, []string{small, small, ""}, p.Attempt.Targets)
}

// TestFailedAttemptCancelsSaves checks that the store is referenced again as a target if the engine
// that should have sent the parts did not run the request. Otherwise no node would save them for 4
// s, and all requests that use them would read them.
func TestFailedAttemptCancelsSaves(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	p, ok := fx.Place(query())
	must.True(t, ok)
	p.RecordFailure()
	p, ok = fx.Place(query())
	must.True(t, ok)
	test.Eq(t, []string{store, store, ""}, p.Attempt.Targets)
}

// TestFetchesSmallPartsBeforeLargeOnes checks that a part which could be read sooner is fetched
// where this avoids reading a large part after it, which can't be used without it.
func TestFetchesSmallPartsBeforeLargeOnes(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1)
	for range 20 {
		fx.KVIndex.Stores()[0].Late.Observe(300, time.Now())
	}
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, []string{store, store, ""}, p.Attempt.Sources)
	test.Eq(t, 9500, p.Fetched)
	test.Eq(t, 2000, p.PrefillTokens)
}

// TestUsesOnlyPartsOfSameVersion checks that KV cache computed with other weights is not used.
func TestUsesOnlyPartsOfSameVersion(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(0): shared(1, ""), store: shared(1, "")}, 2, 2, 2)
	fx.versions.wanted = 2
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Nil(t, p.Attempt.Sources)
	test.Eq(t, salt(2, ""), p.Attempt.Salt)
	test.Eq(t, 2, p.Attempt.Version)
}

// TestReplacedWeights checks that replaced weights are used while newer ones load, but not beyond
// the limit for applying them.
func TestReplacedWeights(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.True(t, p.BeginBy.IsZero())
	fx.versions.wanted, fx.versions.age = 2, 9*time.Second
	p, ok = fx.Place(query())
	must.True(t, ok)
	remaining := time.Until(p.BeginBy)
	test.Positive(t, remaining)
	test.Less(t, limit-fx.versions.age, remaining, test.Sprint("prompts are withdrawn before the limit"))
	fx.versions.age = limit
	_, ok = fx.Place(query())
	test.False(t, ok)
}

func TestNewWeightsPreferred(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(0): shared(1, "")}, 1, 1, 2)
	fx.versions.wanted, fx.versions.age = 2, 5*time.Second
	q := query()
	q.Attributes.Parts = q.Attributes.Parts[2:] // without a home engine
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.Eq(t, "e2", p.Member.ID)
}

func TestClosedEngines(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(2): shared(1, "")}, 1, 1, 1)
	fx.closed = []weights.Closed{{Endpoint: home}}
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.NotEq(t, home, p.Member.ID)
	short := query()
	short.Attributes.OutputTokens = 20
	p, ok = fx.Place(short)
	must.True(t, ok)
	test.Eq(t, home, p.Member.ID, test.Sprint("a short answer ends before the weights load"))
	fx.closed[0].Loads = true
	p, ok = fx.Place(short)
	must.True(t, ok)
	test.NotEq(t, home, p.Member.ID)
}

func TestPriority(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1)
	priority := func(account *int, route int) int {
		q := query()
		q.Account.Priority, q.Route.Priority = account, route
		p, ok := fx.Place(q)
		must.True(t, ok)
		return *p.Attempt.Priority
	}
	first, second := 0, 1
	test.Less(t, priority(&second, 0), priority(&first, 2))
	test.Less(t, priority(&second, 2), priority(&second, 1))
	test.LessEq(t, 9, priority(&[]int{7}[0], 2))
}

func TestTriedAndUnhealthyEndpoints(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1)
	q := query()
	q.Tried = []string{"e0"}
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.Eq(t, "e1", p.Member.ID)
	for _, m := range fx.members {
		m.Health.RecordFailure(time.Now(), true)
	}
	_, ok = fx.Place(q)
	test.True(t, ok, test.Sprint("if all endpoints are unhealthy, all are used"))
	q.Tried = []string{"e0", "e1"}
	_, ok = fx.Place(q)
	test.False(t, ok)
}

// TestVersionIsReadOnce checks that the salt of the parts and the expected weights are of one
// version even if an engine's weights change during a placement. Otherwise the engine would use KV
// cache computed with other weights.
func TestVersionIsReadOnce(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1)
	fx.MayReference = func(kvindex.Salt) bool {
		fx.members[0].RecordWeights(fleet.WeightsReport{Weights: fleet.Weights{Model: model, Version: 2}, At: time.Now()})
		return true
	}
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, salt(p.Attempt.Version, ""), p.Attempt.Salt)
}

// TestLargeSystem checks that a session in a large system is placed at any engine of the node's own
// failure domain, with its parts fetched from the store, that engines without a free slot are
// skipped, and that another domain is used if too few local engines are left.
func TestLargeSystem(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1, 1, 1)
	fx.FullMesh = func() bool { return false }
	fx.KVIndex.Follow(t.Context(), nil, fx.KVIndex.Stores()) // the index receives no events of engines
	for i := range 12 {
		domain := []string{"north", "south"}[i%2]
		fx.Fleet.Update(&fleet.Endpoint{ID: fmt.Sprint("f", i), Service: "s", Addr: addr(10 + i), Domain: domain, Slots: 12, Weights: []fleet.Weights{{Model: model, Version: 1}}}, time.Now())
	}
	first, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, "north", first.Member.Endpoint().Domain)
	test.Eq(t, []string{store, store, ""}, first.Attempt.Sources)
	test.Eq(t, 9500, first.Fetched)
	used := make(map[string]bool)
	for range 200 {
		again, ok := fx.Place(query())
		must.True(t, ok)
		test.Eq(t, "north", again.Member.Endpoint().Domain)
		test.Eq(t, first.Attempt.Sources, again.Attempt.Sources)
		used[again.Member.ID] = true
	}
	test.MapLen(t, 9, used, test.Sprint("all engines of the domain"))
	for range 41 {
		first.Member.Load.Begin(0, 0)
	}
	selected := 0
	for range 200 {
		other, ok := fx.Place(query())
		must.True(t, ok)
		if other.Member == first.Member {
			selected++
		}
	}
	test.Eq(t, 0, selected, test.Sprint("no slot is free"))
	for _, m := range fx.Fleet.Members("s") {
		if m.Endpoint().Domain == "north" {
			fx.Fleet.Remove(m.ID)
		}
	}
	far, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, "south", far.Member.Endpoint().Domain)
}

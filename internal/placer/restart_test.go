package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// restart restarts an engine under the same ID at another address.
func (fx *fixture) restart(id string, version int64) {
	fx.Fleet.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: addr(9), Domain: "north", StartedMs: 100, Weights: []fleet.Weights{{Model: model, Version: version}}}, time.Now())
	fx.members = fx.Fleet.Members("s")
}

// TestRestartedEngine checks that a prompt is placed by the address and the weights of a restarted
// engine, without regard to load and failures from before the restart.
func TestRestartedEngine(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 3)
	fx.versions.wanted = 3
	old := fx.members[0]
	old.Load.Begin(100_000, 0)
	old.Health.RecordFailure(time.Now(), true)
	fx.restart("e0", 2)
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Eq(t, addr(9), p.Member.Endpoint().Addr)
	test.Eq(t, 2, p.Attempt.Version)
	test.Eq(t, salt(2, ""), p.Attempt.Salt)
	test.Zero(t, p.PredictedWait)
}

// TestUnknownWeights checks that an engine with unknown weights gets no prompt if versions of the
// model are known: the request could not state which version it expects.
func TestUnknownWeights(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 0)
	_, ok := fx.Place(query())
	test.False(t, ok, test.Sprint("the request can't state the expected version"))

	fx = newFixture(t, fakeEvents{}, 1)
	fx.versions.wanted = 0
	fx.members[0].RecordVersionRefusal(model, 1, time.Now())
	fx.members[0].RecordVersionRefusal(model, 2, time.Now())
	_, ok = fx.Place(query())
	test.False(t, ok, test.Sprint("the engine refused each possible version"))
}

// TestNothingIsFetchedForUnknownWeights checks that a model without known versions is served, but
// that no engine uses KV cache of another, whose weights may differ.
func TestNothingIsFetchedForUnknownWeights(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(0, ""), addr(0): shared(0, "")}, 0, 0)
	fx.versions.wanted = 0
	q := query()
	q.Tried = []string{"e0"}
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.Zero(t, p.Attempt.Version)
	test.SliceEmpty(t, p.Attempt.Sources)
	test.SliceEmpty(t, p.Attempt.Targets)
}

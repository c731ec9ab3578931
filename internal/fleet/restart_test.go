package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

const model = "m"

// born returns an entry of a start, with a version of the weights.
func born(ms, version int64) *fleet.Endpoint {
	return &fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", Born: ms, Weights: []fleet.Weights{{Model: model, Version: version}}}
}

func only(t *testing.T, f *fleet.Fleet, service string) *fleet.Member {
	t.Helper()
	members := f.Members(service)
	must.Len(t, 1, members)
	return members[0]
}

// TestRestart starts an endpoint anew under its id, at another address and for another
// service: nothing that was seen of the one before counts for it.
func TestRestart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 3), at(0))
	old := only(t, f, "s")
	old.Saw(said(4, at(0)))
	old.Load.Begin(10, 20)
	old.Health.Failed(at(0), true)

	again := born(200, 2)
	again.Addr, again.Service = "127.0.0.1:2", "other"
	f.Update(again, at(time.Second/10))
	test.SliceEmpty(t, f.Members("s"))
	m := only(t, f, "other")
	test.Eq(t, "127.0.0.1:2", m.Endpoint().Addr)
	test.True(t, m.Pool != old.Pool)
	test.Eq(t, 2, m.VersionOf(model))
	test.Zero(t, m.Load.Running())
	test.True(t, m.Health.Usable(at(time.Second/10)))

	old.Load.FirstEvent(10)
	old.Load.End(20)
	test.Zero(t, m.Load.Running(), test.Sprint("a request at the start before ended"))
	test.Zero(t, m.Load.Holding())
}

// TestRestartAtTheSameAddress has requests of the start before end beside new ones.
func TestRestartAtTheSameAddress(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	old := only(t, f, "s")
	old.Load.Begin(0, 0)
	f.Update(born(200, 1), at(time.Second))
	m := only(t, f, "s")
	m.Load.Begin(0, 0)
	old.Load.End(0)
	test.Eq(t, 1, m.Load.Running())
}

// TestOldBeatsOfARestart keeps entries of a start that a later one replaced from bringing it
// back, also when both are gone.
func TestOldBeatsOfARestart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	f.Update(born(200, 2), at(time.Second))
	f.Update(born(100, 1), at(2*time.Second))
	test.Eq(t, 200, only(t, f, "s").Born)
	test.Eq(t, 2, only(t, f, "s").VersionOf(model))
	leaves := born(100, 1)
	leaves.Draining = true
	f.Update(leaves, at(3*time.Second))
	test.True(t, usable(f), test.Sprint("the start before leaves"))

	f.Remove("e")
	f.Update(born(100, 1), at(5*time.Second))
	f.Expire(at(6 * time.Second))
	test.False(t, usable(f))
	f.Update(born(200, 2), at(7*time.Second))
	test.True(t, usable(f), test.Sprint("the newest start is back"))

	f.Remove("e")
	f.Expire(at(10 * time.Minute))
	f.Update(born(100, 1), at(11*time.Minute))
	test.True(t, usable(f), test.Sprint("nothing is remembered for ever"))
}

// TestOldBeatDoesNotUndoALapse lets an old entry neither hold nor bring back one that lapsed.
func TestOldBeatDoesNotUndoALapse(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(200, 1), at(0))
	f.Lapse("e", at(3*time.Second))
	f.Update(born(100, 1), at(2*time.Second))
	f.Expire(at(3 * time.Second))
	test.False(t, usable(f))
}

// TestRestartAfterDraining uses an endpoint that left and started again, and not the start that
// left.
func TestRestartAfterDraining(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	leaves := born(100, 1)
	leaves.Draining = true
	f.Update(leaves, at(0))
	f.Update(born(100, 1), at(time.Second))
	test.False(t, usable(f))
	f.Update(born(200, 1), at(2*time.Second))
	test.True(t, usable(f))
	f.Update(born(100, 1), at(3*time.Second))
	test.True(t, usable(f))
}

// TestEntryWithoutAStart drops an entry that names no start where the endpoint's own do, and
// follows endpoints that never name one.
func TestEntryWithoutAStart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(0, 1), at(0))
	m := only(t, f, "s")
	f.Update(born(0, 2), at(time.Second))
	test.True(t, m == only(t, f, "s"))
	test.Eq(t, 2, m.VersionOf(model))
	f.Update(born(200, 2), at(2*time.Second))
	m = only(t, f, "s")
	foreign := born(0, 1)
	foreign.Addr, foreign.Draining = "127.0.0.1:9", true
	f.Update(foreign, at(3*time.Second))
	test.True(t, m == only(t, f, "s"))
	test.Eq(t, "127.0.0.1:1", m.Endpoint().Addr)
}

// TestMoved sends requests to the address and as the service that the newest entry of a start
// names, and goes on counting what is under way.
func TestMoved(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	old := only(t, f, "s")
	old.Load.Begin(0, 5)
	old.Saw(said(2, at(0)))
	moved := born(100, 1)
	moved.Addr = "127.0.0.1:2"
	f.Update(moved, at(time.Second))
	m := only(t, f, "s")
	test.True(t, m.Pool != old.Pool)
	test.Eq(t, 2, m.VersionOf(model))
	test.Eq(t, 1, m.Load.Running())
	old.Load.End(5)
	test.Zero(t, m.Load.Running())

	other := born(100, 1)
	other.Service = "other"
	f.Update(other, at(2*time.Second))
	test.SliceEmpty(t, f.Members("s"))
	only(t, f, "other")
}

// Requests went to endpoints that had ended until their entries were dropped, 3.6 s later, though an
// entry told of another endpoint at the same address: those of a failure domain that had come back.

// TestAddressTaken avoids an endpoint from when another one has its address, and uses the other.
func TestAddressTaken(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(0, 1), at(0))
	next := born(0, 1)
	next.ID = "f"
	f.Update(next, at(time.Second))
	members := f.Members("s")
	must.Len(t, 2, members)
	test.False(t, members[0].Health.Usable(at(3*time.Second)))
	test.True(t, members[1].Health.Usable(at(time.Second)))
	f.Update(born(0, 1), at(2*time.Second))
	f.Update(next, at(2*time.Second))
	test.True(t, members[1].Health.Usable(at(2*time.Second)), test.Sprint("late heartbeats of the one before"))
	f.Remove("e")
	f.Remove("f")
	f.Update(born(0, 1), at(4*time.Second))
	test.True(t, only(t, f, "s").Health.Usable(at(4*time.Second)), test.Sprint("nothing is there before it"))
}

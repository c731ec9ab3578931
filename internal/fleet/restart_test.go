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

// entryStartedAt returns an entry with the given start time and weights version.
func entryStartedAt(ms, version int64) *fleet.Endpoint {
	return &fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", StartedMs: ms, Weights: []fleet.Weights{{Model: model, Version: version}}}
}

func onlyMember(t *testing.T, f *fleet.Fleet, service string) *fleet.Member {
	t.Helper()
	members := f.Members(service)
	must.Len(t, 1, members)
	return members[0]
}

// TestRestart checks that no observation of the previous start is applied when an endpoint restarts
// under its id at another address and for another service.
func TestRestart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 3), at(0))
	old := onlyMember(t, f, "s")
	old.RecordWeights(weightsReport(4, at(0)))
	old.Load.Begin(10, 20)
	old.Health.RecordFailure(at(0), true)

	again := entryStartedAt(200, 2)
	again.Addr, again.Service = "127.0.0.1:2", "other"
	f.Update(again, at(time.Second/10))
	test.SliceEmpty(t, f.Members("s"))
	m := onlyMember(t, f, "other")
	test.Eq(t, "127.0.0.1:2", m.Endpoint().Addr)
	test.True(t, m.Pool != old.Pool)
	test.Eq(t, 2, m.VersionOf(model))
	test.Zero(t, m.Load.Running())
	test.True(t, m.Health.Usable(at(time.Second/10)))

	old.Load.FirstEvent(10)
	old.Load.End(20)
	test.Zero(t, m.Load.Running(), test.Sprint("request at the previous start ended"))
	test.Zero(t, m.Load.HeldTokens())
}

// TestRestartAtTheSameAddress checks that requests at the previous start are counted separately from
// new ones.
func TestRestartAtTheSameAddress(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	old := onlyMember(t, f, "s")
	old.Load.Begin(0, 0)
	f.Update(entryStartedAt(200, 1), at(time.Second))
	m := onlyMember(t, f, "s")
	m.Load.Begin(0, 0)
	old.Load.End(0)
	test.Eq(t, 1, m.Load.Running())
}

// TestOutdatedEntriesAfterRestart checks that entries of a replaced start do not add it again, even
// after both starts have been removed.
func TestOutdatedEntriesAfterRestart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	f.Update(entryStartedAt(200, 2), at(time.Second))
	f.Update(entryStartedAt(100, 1), at(2*time.Second))
	test.Eq(t, 200, onlyMember(t, f, "s").StartedMs)
	test.Eq(t, 2, onlyMember(t, f, "s").VersionOf(model))
	draining := entryStartedAt(100, 1)
	draining.Draining = true
	f.Update(draining, at(3*time.Second))
	test.True(t, usable(f), test.Sprint("the previous start drains"))

	f.Remove("e")
	f.Update(entryStartedAt(100, 1), at(5*time.Second))
	f.Expire(at(6 * time.Second))
	test.False(t, usable(f))
	f.Update(entryStartedAt(200, 2), at(7*time.Second))
	test.True(t, usable(f), test.Sprint("the newest start is back"))

	f.Remove("e")
	f.Expire(at(10 * time.Minute))
	f.Update(entryStartedAt(100, 1), at(11*time.Minute))
	test.True(t, usable(f), test.Sprint("start records expire"))
}

// TestOutdatedEntryDoesNotUndoLapse checks that an entry of an earlier start neither keeps nor brings
// back an endpoint whose entry lapsed.
func TestOutdatedEntryDoesNotUndoLapse(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(200, 1), at(0))
	f.Lapse("e", at(3*time.Second))
	f.Update(entryStartedAt(100, 1), at(2*time.Second))
	f.Expire(at(3 * time.Second))
	test.False(t, usable(f))
}

// TestRestartAfterDraining checks that an endpoint that drained and restarted is used, and that the
// drained start is not.
func TestRestartAfterDraining(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	draining := entryStartedAt(100, 1)
	draining.Draining = true
	f.Update(draining, at(0))
	f.Update(entryStartedAt(100, 1), at(time.Second))
	test.False(t, usable(f))
	f.Update(entryStartedAt(200, 1), at(2*time.Second))
	test.True(t, usable(f))
	f.Update(entryStartedAt(100, 1), at(3*time.Second))
	test.True(t, usable(f))
}

// TestEntryWithoutAStart checks that an entry without a start time is dropped if the endpoint has
// reported one before, and accepted for endpoints that never report one.
func TestEntryWithoutAStart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(0, 1), at(0))
	m := onlyMember(t, f, "s")
	f.Update(entryStartedAt(0, 2), at(time.Second))
	test.True(t, m == onlyMember(t, f, "s"))
	test.Eq(t, 2, m.VersionOf(model))
	f.Update(entryStartedAt(200, 2), at(2*time.Second))
	m = onlyMember(t, f, "s")
	foreign := entryStartedAt(0, 1)
	foreign.Addr, foreign.Draining = "127.0.0.1:9", true
	f.Update(foreign, at(3*time.Second))
	test.True(t, m == onlyMember(t, f, "s"))
	test.Eq(t, "127.0.0.1:1", m.Endpoint().Addr)
}

// TestMoved checks that the newest entry of a start determines its address and service, and that
// requests in flight stay counted.
func TestMoved(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	old := onlyMember(t, f, "s")
	old.Load.Begin(0, 5)
	old.RecordWeights(weightsReport(2, at(0)))
	moved := entryStartedAt(100, 1)
	moved.Addr = "127.0.0.1:2"
	f.Update(moved, at(time.Second))
	m := onlyMember(t, f, "s")
	test.True(t, m.Pool != old.Pool)
	test.Eq(t, 2, m.VersionOf(model))
	test.Eq(t, 1, m.Load.Running())
	old.Load.End(5)
	test.Zero(t, m.Load.Running())

	other := entryStartedAt(100, 1)
	other.Service = "other"
	f.Update(other, at(2*time.Second))
	test.SliceEmpty(t, f.Members("s"))
	onlyMember(t, f, "other")
}

// TestAddressReused checks that an endpoint is avoided as soon as another one has its address, and that
// the other one is used. Otherwise requests would go to the old endpoints of a restarted failure domain
// until their entries expire, 3.6 s later.
func TestAddressReused(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(0, 1), at(0))
	next := entryStartedAt(0, 1)
	next.ID = "f"
	f.Update(next, at(time.Second))
	members := f.Members("s")
	must.Len(t, 2, members)
	test.False(t, members[0].Health.Usable(at(3*time.Second)))
	test.True(t, members[1].Health.Usable(at(time.Second)))
	f.Update(entryStartedAt(0, 1), at(2*time.Second))
	f.Update(next, at(2*time.Second))
	test.True(t, members[1].Health.Usable(at(2*time.Second)), test.Sprint("late heartbeats of the previous endpoint"))
	f.Remove("e")
	f.Remove("f")
	f.Update(entryStartedAt(0, 1), at(4*time.Second))
	test.True(t, onlyMember(t, f, "s").Health.Usable(at(4*time.Second)), test.Sprint("no other endpoint had the address before"))
}

// TestRestartWithAnotherRelease checks that a member stands for one release: requests that were placed
// before an endpoint's entry named another one keep theirs.
func TestRestartWithAnotherRelease(t *testing.T) {
	for _, startedMs := range []int64{100, 200} {
		f := fleet.New(zerolog.Nop())
		first := entryStartedAt(100, 1)
		first.Release = "v1"
		f.Update(first, at(0))
		old := onlyMember(t, f, "s")
		again := entryStartedAt(startedMs, 1)
		again.Release = "v2"
		f.Update(again, at(time.Second))
		test.Eq(t, "v2", onlyMember(t, f, "s").Endpoint().Release)
		test.Eq(t, "v1", old.Endpoint().Release)
		f.Update(first, at(2*time.Second)) // it arrives late
		if startedMs > first.StartedMs {
			test.Eq(t, "v2", onlyMember(t, f, "s").Endpoint().Release)
		}
	}
}

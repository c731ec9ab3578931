package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// TestReportedDrainingPersists checks that an endpoint which reported in an answer that it drains stays
// excluded whatever its entry states, also after its entry was missing for a while or the endpoint
// moved.
func TestReportedDrainingPersists(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	m := onlyMember(t, f, "s")
	must.True(t, f.MarkDraining(m, at(time.Second)))
	test.SliceEmpty(t, f.Members("s"))
	test.False(t, f.MarkDraining(m, at(2*time.Second)), test.Sprint("reported before"))
	f.Update(entryStartedAt(100, 1), at(3*time.Second))
	test.SliceEmpty(t, f.Members("s"), test.Sprint("the entry is not marked as draining"))
	f.Lapse("e", at(9*time.Second))
	f.Update(entryStartedAt(100, 1), at(4*time.Second))
	test.SliceEmpty(t, f.Members("s"), test.Sprint("the entry was missing"))
	moved := entryStartedAt(100, 1)
	moved.Addr = "127.0.0.1:2"
	f.Update(moved, at(5*time.Second))
	test.SliceEmpty(t, f.Members("s"), test.Sprint("at another address"))
	since, draining := m.Signals.Draining()
	test.True(t, draining)
	test.Eq(t, at(time.Second), since)
}

// TestDrainingDoesNotAffectLaterStart checks that a draining report of one start excludes neither a
// later start under the same id nor another endpoint at the same address, even if the report arrives
// after the entry of the later start.
func TestDrainingDoesNotAffectLaterStart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	first := onlyMember(t, f, "s")
	f.MarkDraining(first, at(time.Second))
	f.Update(entryStartedAt(200, 1), at(2*time.Second))
	second := onlyMember(t, f, "s")
	f.Update(entryStartedAt(300, 1), at(3*time.Second))
	test.True(t, f.MarkDraining(second, at(4*time.Second)), test.Sprint("late report"))
	test.Eq(t, 300, onlyMember(t, f, "s").StartedMs)
	f.MarkDraining(onlyMember(t, f, "s"), at(5*time.Second))
	other := entryStartedAt(400, 1)
	other.ID = "another"
	f.Update(other, at(6*time.Second))
	test.Eq(t, "another", onlyMember(t, f, "s").ID)
}

// TestDrainingReportedBeforeTheStartIsListedCounts guards against requests to a restarted endpoint that drains
// and reported so while the registry still listed the start before.
func TestDrainingReportedBeforeTheStartIsListedCounts(t *testing.T) {
	for _, c := range []struct {
		reported time.Duration // after the later start
		drains   bool
	}{{time.Second, true}, {-time.Second, false}} {
		f := fleet.New(zerolog.Nop())
		begun := time.UnixMilli(1_000_000)
		f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: begun.Add(-time.Minute).UnixMilli()}, begun)
		must.True(t, f.MarkDraining(f.Member("e"), begun.Add(c.reported)))
		f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: begun.UnixMilli()}, begun.Add(2*time.Second))
		test.Eq(t, c.drains, f.Member("e") == nil, test.Sprint(c.reported))
	}
}

package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

func said(version int64, at time.Time) fleet.Statement {
	return fleet.Statement{Weights: fleet.Weights{Model: model, Version: version}, At: at}
}

// TestVersionsSeenInAnswers believes the newest statement, ahead of the entry.
func TestVersionsSeenInAnswers(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(endpoint(false), at(0))
	m := f.Members("s")[0]
	m.Saw(said(3, at(100*time.Millisecond)))
	test.Eq(t, 3, m.VersionOf(model))
	m.Saw(said(2, at(0)))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("an answer to an earlier request"))
	f.Update(endpoint(false), at(time.Second))
	f.Expire(at(time.Second))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("the entry is older"))
}

// TestOlderWeightsAreBelieved follows an engine back to older weights, by each kind of evidence.
func TestOlderWeightsAreBelieved(t *testing.T) {
	tests := map[string]func(f *fleet.Fleet, m *fleet.Member){
		"its entry falls":            func(f *fleet.Fleet, _ *fleet.Member) { f.Update(born(100, 2), at(time.Second)) },
		"a report or answer says so": func(_ *fleet.Fleet, m *fleet.Member) { m.Saw(said(2, at(time.Second))) },
		"another node was told":      func(_ *fleet.Fleet, m *fleet.Member) { m.Heard(said(2, at(time.Second))) },
	}
	for name, tell := range tests {
		f := fleet.New(zerolog.Nop())
		f.Update(born(100, 3), at(0))
		m := f.Members("s")[0]
		m.Saw(said(4, at(0)))
		test.Eq(t, 4, m.VersionOf(model))
		tell(f, m)
		test.Eq(t, 2, f.Members("s")[0].VersionOf(model), test.Sprint(name))
	}
}

// TestAnswersToEarlierRequests believes the entry rather than an answer to a request that was sent
// before it told of newer weights, as the run may have begun on the ones before.
func TestAnswersToEarlierRequests(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	m := f.Members("s")[0]
	m.Saw(said(2, at(time.Second)))
	f.Update(born(100, 2), at(2*time.Second))
	m.Saw(said(1, at(time.Second/2)))
	test.Eq(t, 2, m.VersionOf(model))
	m.Saw(said(3, at(time.Second)))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("newer weights than the entry's"))
	m.Saw(said(1, at(3*time.Second)))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("a request sent since"))
}

// TestEntryCountsInTheEnd believes the entry again where what was said is older than it can be.
func TestEntryCountsInTheEnd(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	m := f.Members("s")[0]
	m.Saw(said(2, at(0)))
	f.Expire(at(3 * time.Second))
	test.Eq(t, 2, m.VersionOf(model))
	m.Saw(said(2, at(3*time.Second)))
	f.Expire(at(5 * time.Second))
	test.Eq(t, 2, m.VersionOf(model), test.Sprint("it was said again"))
	f.Expire(at(8 * time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("an order was undone"))
}

// TestRefusedVersions follows an engine by refusals alone: to the next version, to the one that
// its entry names, or to none.
func TestRefusedVersions(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 2), at(0))
	m := f.Members("s")[0]
	m.Refuted(model, 2, at(0))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("newer, most likely"))
	m.Refuted(model, 2, at(0))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("a request sent at the same time"))
	_, told := m.Seen()
	test.False(t, told, test.Sprint("a guess is not told"))
	m.Refuted(model, 3, at(0))
	test.Eq(t, 0, m.VersionOf(model), test.Sprint("neither is right"))
	f.Update(born(100, 1), at(time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("it says so itself"))

	m.Saw(said(2, at(2*time.Second)))
	m.Refuted(model, 2, at(3*time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("what its entry names"))
	m.Refuted(model, 1, at(3*time.Second))
	f.Expire(at(4 * time.Second))
	test.Eq(t, 0, m.VersionOf(model))
	f.Expire(at(6 * time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("a guess lasts until the next heartbeat"))
}

// TestStatementsOfAnotherStart are dropped.
func TestStatementsOfAnotherStart(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(200, 1), at(0))
	m := f.Members("s")[0]
	s := said(2, at(time.Second))
	s.Born = 100
	m.Heard(s)
	test.Eq(t, 1, m.VersionOf(model))
	s.Born = 200
	m.Heard(s)
	test.Eq(t, 2, m.VersionOf(model))
}

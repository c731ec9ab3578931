package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

func weightsReport(version int64, at time.Time) fleet.WeightsReport {
	return fleet.WeightsReport{Weights: fleet.Weights{Model: model, Version: version}, At: at}
}

// TestNewestReportTakesPrecedence checks that the newest report takes precedence over older ones and
// over the entry.
func TestNewestReportTakesPrecedence(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(endpoint(false), at(0))
	m := f.Members("s")[0]
	m.RecordWeights(weightsReport(3, at(100*time.Millisecond)))
	test.Eq(t, 3, m.VersionOf(model))
	m.RecordWeights(weightsReport(2, at(0)))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("answer to an earlier request"))
	f.Update(endpoint(false), at(time.Second))
	f.Expire(at(time.Second))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("the entry is older"))
}

// TestOlderWeightsAreAccepted checks that the estimate goes back to older weights for each source of
// information.
func TestOlderWeightsAreAccepted(t *testing.T) {
	tests := map[string]func(f *fleet.Fleet, m *fleet.Member){
		"entry with an older version":    func(f *fleet.Fleet, _ *fleet.Member) { f.Update(entryStartedAt(100, 2), at(time.Second)) },
		"report or answer":               func(_ *fleet.Fleet, m *fleet.Member) { m.RecordWeights(weightsReport(2, at(time.Second))) },
		"report relayed by another node": func(_ *fleet.Fleet, m *fleet.Member) { m.RecordRelayedWeights(weightsReport(2, at(time.Second))) },
	}
	for name, report := range tests {
		f := fleet.New(zerolog.Nop())
		f.Update(entryStartedAt(100, 3), at(0))
		m := f.Members("s")[0]
		m.RecordWeights(weightsReport(4, at(0)))
		test.Eq(t, 4, m.VersionOf(model))
		report(f, m)
		test.Eq(t, 2, f.Members("s")[0].VersionOf(model), test.Sprint(name))
	}
}

// TestAnswerOlderThanEntryIsIgnored checks that the entry takes precedence over the answer to a request
// that was sent before the entry announced newer weights, because that run may have started on the
// previous weights.
func TestAnswerOlderThanEntryIsIgnored(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	m := f.Members("s")[0]
	m.RecordWeights(weightsReport(2, at(time.Second)))
	f.Update(entryStartedAt(100, 2), at(2*time.Second))
	m.RecordWeights(weightsReport(1, at(time.Second/2)))
	test.Eq(t, 2, m.VersionOf(model))
	m.RecordWeights(weightsReport(3, at(time.Second)))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("newer than the version in the entry"))
	m.RecordWeights(weightsReport(1, at(3*time.Second)))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("request sent after the entry changed"))
}

// TestEstimateExpires checks that the entry applies again once a report is older than the entry can be.
func TestEstimateExpires(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	m := f.Members("s")[0]
	m.RecordWeights(weightsReport(2, at(0)))
	f.Expire(at(3 * time.Second))
	test.Eq(t, 2, m.VersionOf(model))
	m.RecordWeights(weightsReport(2, at(3*time.Second)))
	f.Expire(at(5 * time.Second))
	test.Eq(t, 2, m.VersionOf(model), test.Sprint("reported again"))
	f.Expire(at(8 * time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("the order was undone"))
}

// TestRefusedVersions checks the estimate after refusals: the next version, the version in the entry,
// or unknown.
func TestRefusedVersions(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 2), at(0))
	m := f.Members("s")[0]
	m.RecordVersionRefusal(model, 2, at(0))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("the next version is assumed"))
	m.RecordVersionRefusal(model, 2, at(0))
	test.Eq(t, 3, m.VersionOf(model), test.Sprint("refusal of a concurrent request"))
	_, reported := m.UnlistedWeights()
	test.False(t, reported, test.Sprint("a guess is not passed on"))
	m.RecordVersionRefusal(model, 3, at(0))
	test.Eq(t, 0, m.VersionOf(model), test.Sprint("both versions were refused"))
	f.Update(entryStartedAt(100, 1), at(time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("the entry changed"))

	m.RecordWeights(weightsReport(2, at(2*time.Second)))
	m.RecordVersionRefusal(model, 2, at(3*time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("the version in the entry"))
	m.RecordVersionRefusal(model, 1, at(3*time.Second))
	f.Expire(at(4 * time.Second))
	test.Eq(t, 0, m.VersionOf(model))
	f.Expire(at(6 * time.Second))
	test.Eq(t, 1, m.VersionOf(model), test.Sprint("a guess lasts until the next heartbeat"))
}

// TestReportsOfAnotherStartAreDiscarded checks that only reports made by the current start of the
// endpoint are used.
func TestReportsOfAnotherStartAreDiscarded(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(200, 1), at(0))
	m := f.Members("s")[0]
	s := weightsReport(2, at(time.Second))
	s.StartedMs = 100
	m.RecordRelayedWeights(s)
	test.Eq(t, 1, m.VersionOf(model))
	s.StartedMs = 200
	m.RecordRelayedWeights(s)
	test.Eq(t, 2, m.VersionOf(model))
}

package peerload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

const model = "m"

func memberOf(t *testing.T, startedMs, version int64) (*fleet.Fleet, *fleet.Member) {
	t.Helper()
	f := fleet.New(zerolog.Nop())
	f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", StartedMs: startedMs, Weights: []fleet.Weights{{Model: model, Version: version}}}, now)
	return f, f.All()[0]
}

func reportOf(version int64, at time.Time) fleet.WeightsReport {
	return fleet.WeightsReport{Weights: fleet.Weights{Model: model, Version: version}, At: at}
}

// TestUnlistedWeightsApplyToOneStart checks that a reported version applies only to the same start
// of the engine, and that it counts from the time of the engine's report.
func TestUnlistedWeightsApplyToOneStart(t *testing.T) {
	reporting, member := memberOf(t, 100, 1)
	member.RecordWeights(reportOf(2, now))
	data, err := json.Marshal(UnlistedWeightsOf(reporting.All(), now.Add(time.Second)))
	must.NoError(t, err)
	var list []UnlistedWeights
	must.NoError(t, json.Unmarshal(data, &list))
	must.Len(t, 1, list)
	report := list[0].report(0, now.Add(time.Second))
	test.Eq(t, now, report.At)

	_, same := memberOf(t, 100, 1)
	same.RecordRelayedWeights(report)
	test.Eq(t, 2, same.VersionOf(model))
	_, newer := memberOf(t, 100, 1)
	newer.RecordWeights(reportOf(3, now.Add(time.Second/2)))
	newer.RecordRelayedWeights(report)
	test.Eq(t, 3, newer.VersionOf(model), test.Sprint("a newer report takes precedence"))
	_, restarted := memberOf(t, 200, 1)
	restarted.RecordRelayedWeights(report)
	test.Eq(t, 1, restarted.VersionOf(model), test.Sprint("the report was of an earlier start"))
}

// TestRelayedVersionsAreNotReported checks that versions received from other nodes are not
// reported. Otherwise nodes could keep reporting a version to each other that no engine reports any
// more.
func TestRelayedVersionsAreNotReported(t *testing.T) {
	f, m := memberOf(t, 100, 1)
	m.RecordRelayedWeights(reportOf(2, now))
	test.SliceEmpty(t, UnlistedWeightsOf(f.All(), now))
}

// TestUnlistedWeightsOfAnotherBuild checks that a report without starts and ages is accepted.
func TestUnlistedWeightsOfAnotherBuild(t *testing.T) {
	_, m := memberOf(t, 100, 1)
	s := UnlistedWeights{Model: model, Version: 2, Endpoints: []string{"e"}}
	m.RecordRelayedWeights(s.report(0, now))
	test.Eq(t, 2, m.VersionOf(model))
}

// TestOvertakenWeightsAreIgnored checks that a digest that arrives after a later one of the same node does not set the
// weight version back that the later one reports.
func TestOvertakenWeightsAreIgnored(t *testing.T) {
	runNetwork(t, 6, 3, 2, func(t *testing.T, w *network) {
		n := w.nodes[addrOf(0)]
		deliver := func(seq, version int64) {
			reported := UnlistedWeights{Model: model, Version: version, Endpoints: []string{limitedEngine}, StartedMs: []int64{0}, AgesMs: []int64{0}}
			data, err := json.Marshal(&Digest{Node: "sender", Incarnation: 1, Seq: seq, UnlistedWeights: []UnlistedWeights{reported}})
			must.NoError(t, err)
			_, err = n.receiveDigest(data)
			must.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		deliver(2, 8)
		deliver(1, 7)
		test.Eq(t, 8, n.fleet.Member(limitedEngine).VersionOf(model))
		deliver(3, 9)
		test.Eq(t, 9, n.fleet.Member(limitedEngine).VersionOf(model))
	})
}

// TestReportsMadeWhileADigestIsMadeAreAccepted guards against digests with negative ages, which their receivers reject.
func TestReportsMadeWhileADigestIsMadeAreAccepted(t *testing.T) {
	reporting, member := memberOf(t, 100, 1)
	member.RecordWeights(reportOf(2, now.Add(10*time.Millisecond)))
	brittle := func() []Brittle { return []Brittle{{Service: "models", Refusals: 2, AgeMs: -10}} }
	e := &Exchange{config: Config{Brittle: brittle}}
	d := Digest{Node: "a", UnlistedWeights: UnlistedWeightsOf(reporting.All(), now), Brittle: e.brittleToSend()}
	must.NoError(t, d.check())
	test.Len(t, 1, d.UnlistedWeights)
	test.Eq(t, 0, d.Brittle[0].AgeMs)
}

package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// TestSchedulesOfReleasesAndFaults checks the same as TestStreamsGoOnAtNoOtherRelease for combinations that random draws
// seldom meet.
func TestSchedulesOfReleasesAndFaults(t *testing.T) {
	const second = time.Second
	for name, events := range map[string][]event{
		"a node cut from the store while a release appears": {
			{cutStore, 1, "v1", 5 * second, second / 2}, {appear, 0, "v2", 0, 5 * second},
		},
		"a node cut from all while a release takes the place of another": {
			{cutAll, 1, "v1", 5 * second, second / 2}, {replace, 0, "v2", second, 9 * second},
		},
		"a node slow to read while a release appears": {
			{slowStore, 1, "v1", 6 * second, second}, {appear, 0, "v2", 0, second / 2}, {appear, 0, "v3", 0, 6 * second},
		},
		"all nodes killed as two releases appear": {
			{appear, 0, "v2", 0, second / 5}, {appear, 0, "v3", 0, second / 10}, {killAll, 0, "v3", second, 3 * second},
		},
		"a release that appears, and leaves, while all nodes are down": {
			{killAll, 0, "v1", 4 * second, second}, {visit, 0, "v2", 2 * second, 9 * second},
		},
		"a release that leaves while all nodes are down": {
			{appear, 0, "v2", 0, 3 * second}, {killAll, 0, "v2", 3 * second, second / 10}, {leave, 0, "v1", 5 * second, 9 * second},
		},
		"back to the release before": {
			{replace, 0, "v2", 3 * second, 2 * second}, {replace, 0, "v1", 3 * second, 20 * second}, {killAll, 0, "v1", second, 9 * second},
		},
		"writes without an answer while a release appears and all nodes are killed": {
			{loseWrites, 0, "v1", 6 * second, second}, {appear, 0, "v2", 0, second}, {killAll, 0, "v2", second, 9 * second},
		},
		"refused writes while a release appears and all nodes are killed": {
			{refuseWrites, 0, "v1", 9 * second, second / 2}, {visit, 0, "v2", 2 * second, second}, {killAll, 0, "v1", second, 3 * second},
		},
	} {
		t.Run(name, func(t *testing.T) { check(t, t, retention, true, events) })
	}
}

// TestReleasesThatReturnWhileTheirRecordsEnd checks the same for a release that returns at about the time when its record
// is retired, or removed, by a node whose writes are executed late.
func TestReleasesThatReturnWhileTheirRecordsEnd(t *testing.T) {
	writer := firstWriter("v1")
	for _, after := range []time.Duration{retention, retention + removeDelay} {
		for early := -time.Second; early <= time.Second; early += 200 * time.Millisecond {
			check(t, t, retention, false, []event{
				{replace, 0, "v2", time.Second, after + early - time.Second}, {delayWrites, writer, "v2", 3 * time.Second, time.Second},
				{appear, 0, "v1", 0, 2 * time.Second}, {leave, 0, "v1", 2 * time.Second, 4 * time.Second},
			})
		}
	}
}

// TestReleasesThatAppearWhileANodeReadsSlowly checks the same at each moment of a read that takes long.
func TestReleasesThatAppearWhileANodeReadsSlowly(t *testing.T) {
	for offset := time.Duration(0); offset < slowCall; offset += slowCall / 10 {
		check(t, t, retention, false, []event{
			{slowStore, (firstWriter("v2") + 1) % systemSize, "v1", 6 * time.Second, time.Second + offset}, {appear, 0, "v2", 0, 2 * time.Second},
		})
	}
}

// TestOldRecordsOfAReleaseThatReturns checks the same for a node whose copy of the records is older than that of the
// registry.
func TestOldRecordsOfAReleaseThatReturns(t *testing.T) {
	cut := (firstWriter("v1") + 1) % systemSize
	check(t, t, retention, false, []event{
		{cutRecords, cut, "v1", 2 * (retention + removeDelay), time.Second}, {replace, 0, "v2", 0, retention + removeDelay + 5*time.Second},
		{refuseWrites, 0, "v1", 4 * time.Second, 0}, {appear, 0, "v1", 0, 3 * time.Second},
	})
}

// TestRecordsOutlastRestartsOfAllNodes checks the same for nodes that have started since a release left, whose streams
// may be resumed for longer than removeDelay.
func TestRecordsOutlastRestartsOfAllNodes(t *testing.T) {
	check(t, t, longRetention, false, []event{
		{replace, 0, "v2", 3 * time.Second, 5 * time.Second}, {killAll, 0, "v2", time.Second, removeDelay + 10*time.Second}, {freeze, 0, "v2", 0, 9 * time.Second},
	})
}

// TestRecordsThatTheStoreLost checks the same after the store came back from a copy that lacks the record of a release
// which has left.
func TestRecordsThatTheStoreLost(t *testing.T) {
	check(t, t, retention, true, []event{
		{replace, 0, "v2", 0, time.Second}, {restoreStore, 0, "v2", 6 * time.Second, time.Second}, {killAll, 0, "v2", time.Second, 4 * time.Second},
	})
}

// TestStreamsThatBeginAfterTheirReleaseIsForgotten checks the same for streams that begin at endpoints which have had no
// entry for a while: a node had sent their requests before the store lost the record, or reads neither registry nor records.
func TestStreamsThatBeginAfterTheirReleaseIsForgotten(t *testing.T) {
	forgotten := map[string][]event{
		"sent before the store came back from an older copy": {
			{replace, 0, "v2", 6 * time.Second, time.Second}, {restoreStore, 0, "v2", 6 * time.Second, retention + 6*time.Second}, {freeze, 0, "v2", 0, 4 * time.Second},
		},
	}
	for _, serves := range []time.Duration{removeDelay - 5*time.Second, removeDelay + 15*time.Second, 2 * removeDelay} {
		forgotten[fmt.Sprint("node cut off, endpoints serve for ", serves)] = []event{
			{cutAll, 1, "v1", 4 * removeDelay, time.Second}, {replace, 0, "v2", serves, retention + 2*removeDelay}, {freeze, 0, "v2", 0, 4 * time.Second},
		}
	}
	for name, events := range forgotten {
		t.Run(name, func(t *testing.T) { check(t, t, retention, false, events) })
	}
}

// TestServiceWithTooLongANameHasNoSoleRelease checks that a service whose releases can't be recorded has no release that
// counts as the only one: any may begin its streams.
func TestServiceWithTooLongANameHasNoSoleRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(1, newPlatformTopic())
		long := strings.Repeat("s", maxNameBytes+1)
		s.observers[0].Set("endpoint", Origin{long, "v1"}, time.Now())
		must.True(t, s.gates[0].MayBegin(long, "v2"))
		release, err := s.gates[0].Sole(t.Context(), long)
		must.NoError(t, err)
		test.Eq(t, "", release)
	})
}

// firstWriter returns the node that is the first to write the record of a release.
func firstWriter(release string) int {
	var names []string
	for i := range systemSize {
		names = append(names, newPeer(i).Name)
	}
	return slices.Index(names, rendezvous.TopOf(1, releaseKey(Origin{service, release}), names[0], slices.Values(names[1:]))[0])
}

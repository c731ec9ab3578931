package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestStreamsAreResumedAfterTheLossOfAllNodes checks that nodes which have lost all records know from the
// platform's store whether one release alone served before.
func TestStreamsAreResumedAfterTheLossOfAllNodes(t *testing.T) {
	const settled, replaced = 2 * settleTime, 10 * time.Second
	for _, size := range []int{6, 85, 295} {
		synctest.Test(t, func(t *testing.T) {
			s := newRecordingSystem(size, newPlatformTopic())
			s.set("v1")
			s.run(t, settled)
			s.restart()
			s.set("v1")
			test.Eq(t, "v1", s.resumes(t), test.Sprint(size, " nodes, one release"))
			must.Eq(t, 1, s.topic.writes)

			s.run(t, settled)
			s.set("v2")
			s.run(t, settled)
			s.unlist("v1")
			s.run(t, replaced)
			s.restart()
			s.set("v2")
			test.Eq(t, "", s.resumes(t), test.Sprint("v1 served until a moment ago"))
			s.run(t, retention-settled)
			test.Eq(t, "", s.resumes(t), test.Sprint("streams of v1 may still be resumed"))
			s.run(t, 2*settled+retention+removeDelay)
			s.restart()
			s.set("v2")
			test.Eq(t, "v2", s.resumes(t), test.Sprint("v1 is gone for good"))
			test.Eq(t, 4, s.topic.writes)
		})
	}
}

// TestReleasesAreRecordedAnew checks that records are written again after the store lost them, that no stream begins
// before, and that nodes which find none don't take those that they see for all that served.
func TestReleasesAreRecordedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := newPlatformTopic()
		topic.down = true
		s := newRecordingSystem(6, topic)
		s.set("v1")
		s.run(t, 2*settleTime)
		test.False(t, s.gates[1].MayBegin(service, "v1"))
		topic.down = false
		s.run(t, settleTime)
		test.True(t, s.gates[1].MayBegin(service, "v1"))
		test.Eq(t, "v1", s.resumes(t), test.Sprint("no stream began before the first record"))
		for range 2 {
			topic.restoreEmpty()
			s.read()
			test.False(t, s.gates[1].MayBegin(service, "v1"), test.Sprint("the store came back from an older copy"))
			s.run(t, settleTime)
			must.SliceLen(t, 1, topic.recorded())
			test.Eq(t, "", s.resumes(t), test.Sprint("another release may have had a record that is lost"))
			s.restart()
			s.set("v1")
			test.Eq(t, "", s.resumes(t), test.Sprint("so it is for nodes that have started since"))
			s.run(t, retention)
			test.Eq(t, "", s.resumes(t), test.Sprint("a node that was cut off may have begun streams since"))
			s.run(t, removeDelay)
			test.Eq(t, "v1", s.resumes(t))
		}
	})
}

// TestReleaseThatReturnsIsNotRemoved checks that a release which is seen again while its record is removed gets a new
// record before streams begin there, and that the removal fails.
func TestReleaseThatReturnsIsNotRemoved(t *testing.T) {
	for _, back := range []time.Duration{0, removeDelay / 2, removeDelay - recordInterval, removeDelay, removeDelay + recordInterval} {
		synctest.Test(t, func(t *testing.T) {
			s := newRecordingSystem(6, newPlatformTopic())
			s.set("v1")
			s.set("v2")
			s.run(t, settleTime)
			s.unlist("v1")
			s.run(t, retention+back)
			s.set("v1")
			for range 2 * removeDelay / recordInterval {
				s.run(t, recordInterval)
				for i, g := range s.gates {
					if g.MayBegin(service, "v1") {
						must.SliceContains(t, s.topic.recorded(), releaseKey(Origin{service, "v1"}), must.Sprint(i, " after ", back))
					}
				}
			}
			test.True(t, s.gates[0].MayBegin(service, "v1"))
		})
	}
}

// TestNodesWithoutTheStoreLearnOfNewReleases checks that nodes which the store refuses begin streams at a release that
// another node has recorded, and resume none on that node's word.
func TestNodesWithoutTheStoreLearnOfNewReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(6, newPlatformTopic())
		s.set("v1")
		s.run(t, settleTime)
		for _, n := range s.nodes[2:] {
			n.refused = true
		}
		for _, c := range s.copies[:2] {
			c.confirmedAt = time.Now().Add(-10 * time.Second) // as of a read that waits for a change
		}
		s.set("v2")
		s.run(t, time.Second)
		for i, g := range s.gates {
			test.True(t, g.MayBegin(service, "v2"), test.Sprint(i))
		}
		_, err := s.gates[5].Sole(t.Context(), service)
		test.ErrorIs(t, err, errStoreDown)
	})
}

// TestNewReleaseIsToldAmongMany checks the same for a release that is one of more than fit into a message.
func TestNewReleaseIsToldAmongMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(6, newPlatformTopic())
		for i := range 2 * maxMessageRecords {
			s.set(fmt.Sprint("v", i))
		}
		s.run(t, settleTime)
		for _, n := range s.nodes[2:] {
			n.refused = true
		}
		s.set("w")
		s.run(t, time.Second)
		for i, g := range s.gates {
			test.True(t, g.MayBegin(service, "w"), test.Sprint(i))
		}
	})
}

// TestNodesWithoutTheStoreGoOnBeginningStreams checks that nodes which the store refuses for long begin streams at a
// recorded release while other nodes confirm that nothing has changed.
func TestNodesWithoutTheStoreGoOnBeginningStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(6, newPlatformTopic())
		s.set("v1")
		s.set("v2")
		s.run(t, settleTime)
		for _, n := range s.nodes[2:] {
			n.refused = true
		}
		s.set("v3")
		closed := 0
		for range int(time.Minute / recordInterval) {
			s.run(t, recordInterval)
			for _, g := range s.gates {
				if !g.MayBegin(service, "v1") {
					closed++
				}
			}
		}
		test.Zero(t, closed)
		for i, g := range s.gates {
			test.True(t, g.MayBegin(service, "v3"), test.Sprint(i))
		}
	})
}

// TestInvalidReleaseRecordsAreNoProof checks that invalid records are rejected, and that no release counts as the only
// one while there are some.
func TestInvalidReleaseRecordsAreNoProof(t *testing.T) {
	key := releaseKey(Origin{service, "v1"})
	for i, value := range []string{"{", `{"service":"models"}`, `{"service":"models","release":"v2"}`} {
		synctest.Test(t, func(t *testing.T) {
			s := newRecordingSystem(1, newPlatformTopic())
			s.set("v2")
			s.run(t, settleTime)
			test.Eq(t, "v2", s.soleAt(t, 0))
			must.NoError(t, s.topic.Put(t.Context(), key, []byte(value)))
			test.Eq(t, "", s.soleAt(t, 0), test.Sprint(i))
			rejected := 0
			c := s.copies[0]
			c.Apply(&follow.Batch{Snapshot: true, Next: s.topic.end(), Records: []follow.Record{{Key: key, Value: []byte(value)}}},
				func(*follow.Record, error) { rejected++ })
			test.Eq(t, 1, rejected, test.Sprint(i))
			test.MapEmpty(t, c.contents().stored, test.Sprint(i))
		})
	}
}

// soleAt returns the release that alone can have begun streams, as a node finds out.
func (s *recordingSystem) soleAt(t *testing.T, i int) string {
	release, err := s.gates[i].Sole(t.Context(), service)
	must.NoError(t, err)
	return release
}

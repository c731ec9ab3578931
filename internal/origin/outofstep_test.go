package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestNodeOutOfStepResumesAtNoOtherRelease checks that a node which did not see a release join, as it was cut off
// or suspended, resumes no stream of that release at the one it knows.
func TestNodeOutOfStepResumesAtNoOtherRelease(t *testing.T) {
	cuts := map[int][]time.Duration{
		6:   {200 * time.Millisecond, time.Second, 2500 * time.Millisecond},
		85:  {200 * time.Millisecond, time.Second, 2500 * time.Millisecond},
		985: {time.Second}, // a case takes seconds
	}
	for _, size := range []int{6, 85, 985} {
		for _, cut := range cuts[size] {
			for _, healed := range []bool{false, true} {
				for _, named := range []bool{false, true} {
					if size == 985 && healed == named {
						continue
					}
					name := fmt.Sprint(size, " nodes, cut for ", cut, ", healed ", healed, ", request named ", named)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testNodeOutOfStep(t, size, cut, healed, named) })
					})
				}
			}
		}
	}
}

func testNodeOutOfStep(t *testing.T, size int, cut time.Duration, healed, named bool) {
	s := newRecordingSystem(size, newPlatformTopic())
	s.set("v1")
	s.run(t, retention+settleTime)
	asked, began := s.nodes[1], s.nodes[2]
	asked.silent.Store(true)
	s.set("v2")
	s.run(t, cut)
	k := KeyOf("yard", "r")
	began.Record(k, Origin{service, "v2"})
	asked.silent.Store(!healed)
	if !named {
		k = Key{}
	}
	test.NotEq(t, "v1", asked.Find(t.Context(), k, service).Release)
}

// TestFirstNodeOfItsKindIsNoNewSystem checks that a node which starts for the first time, and knows no other one
// yet, does not take the release that it sees for the only one that began streams.
func TestFirstNodeOfItsKindIsNoNewSystem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordingSystem(3, newPlatformTopic())
		s.set("v1")
		s.set("v2")
		s.run(t, recordInterval)
		s.nodes[2].Record(KeyOf("yard", "r"), Origin{service, "v2"})
		s.unlist("v2")
		s.restartNode(1)
		s.nodes[1].SetPeers(nil)
		test.NotEq(t, "v1", s.nodes[1].Find(t.Context(), Key{}, service).Release)
	})
}

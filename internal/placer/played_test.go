package placer_test

import (
	"testing"

	"github.com/shoenig/test"
)

// TestPlayedSlots plays the first deployment's load, whose slots run out before its memory, with and
// without stated slots. It guards against prompts that queue for slots at some engines while others
// have free ones, against runs that are preempted for prompts which could have had a free slot, and
// against a rule that refuses prompts while the load leaves slots free.
func TestPlayedSlots(t *testing.T) {
	for _, tc := range []struct {
		load               float64
		minInTime, minGain float64 // share in time, and how much more than without stated slots
		minServed          float64
	}{
		{load: 0.5, minInTime: 1, minServed: 1},
		{load: 0.8, minInTime: 0.99, minServed: 1},
		{load: 1, minInTime: 0.9, minGain: 0.2, minServed: 0.93},
		{load: 1.2, minInTime: 0.6, minGain: 0.2, minServed: 0.75},
	} {
		before := playLoad(t, firstDeployment, tc.load, 16, 109_921, false)
		after := playLoad(t, firstDeployment, tc.load, 16, 109_921, true)
		t.Log(tc.load, "without slots:", before)
		t.Log(tc.load, "with slots:   ", after)
		test.GreaterEq(t, tc.minInTime, after.share(after.inTime))
		test.GreaterEq(t, tc.minGain-0.01, after.share(after.inTime)-before.share(before.inTime))
		test.GreaterEq(t, tc.minServed, after.share(after.served))
		test.LessEq(t, before.preempted/2, after.preempted)
		test.Less(t, 1.3*max(after.meanRequests, 8), after.mostAtOnce)
		test.GreaterEq(t, 0.98*float64(after.callers[0]), float64(after.inTime[0]), test.Sprint("most urgent prompts"))
	}
}

// TestPlayedMemory plays the second deployment's load, whose memory runs out long before its slots. It
// guards against refusals for lack of slots there, and against prompts placed worse than without stated
// slots.
func TestPlayedMemory(t *testing.T) {
	for _, load := range []float64{1, 2, 4} {
		before := playLoad(t, secondDeployment, load, 64, 95_724, false)
		after := playLoad(t, secondDeployment, load, 64, 95_724, true)
		t.Log(load, "without slots:", before)
		t.Log(load, "with slots:   ", after)
		test.MapNotContainsKey(t, after.byReason, "no_slot")
		test.GreaterEq(t, before.share(before.inTime)-0.01, after.share(after.inTime))
		test.GreaterEq(t, before.share(before.served)-0.01, after.share(after.served))
	}
}

package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestSlotsFit guards against a prompt that is placed where it must queue for a slot, and against one
// that no engine ever accepts because its reserve exceeds the slots.
func TestSlotsFit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		slots   Slots
		reserve int
		want    bool
	}{
		{"last slot", Slots{Total: 16, Running: 15}, 0, true},
		{"all slots taken", Slots{Total: 16, Running: 16}, 0, false},
		{"requests queue for slots", Slots{Total: 16, Running: 25}, 0, false},
		{"free slots are reserved", Slots{Total: 16, Running: 14}, 2, false},
		{"one slot more than reserved", Slots{Total: 16, Running: 13}, 2, true},
		{"idle engine with few slots", Slots{Total: 1}, 1, true},
		{"unknown slots", Slots{Running: 1000}, 4, true},
	} {
		test.Eq(t, tc.want, tc.slots.Fits(tc.reserve), test.Sprint(tc.name))
	}
}

// TestSlotsWait guards against a predicted wait that ignores the queue at an engine: callers would be
// told to retry before a slot can be free.
func TestSlotsWait(t *testing.T) {
	const run = 1600 * time.Millisecond
	test.Eq(t, 0, Slots{Total: 16, Running: 15}.Wait(0, run))
	test.Eq(t, 100*time.Millisecond, Slots{Total: 16, Running: 16}.Wait(0, run))
	test.Eq(t, 300*time.Millisecond, Slots{Total: 16, Running: 16}.Wait(2, run))
	test.Eq(t, 2*run+100*time.Millisecond, Slots{Total: 16, Running: 48}.Wait(0, run), test.Sprint("two rounds of runs are queued"))
	test.Eq(t, run, Slots{Total: 2, Running: 1}.Wait(5, run), test.Sprint("the engine is idle when its runs have ended"))
}

// TestSlotReserve checks the reserve at the rates of two priorities at 90 engines with 16 slots, where
// runs take 2 s. It guards against a reserve that grows with the load until less urgent prompts get no
// slots, or that rare prompts keep up.
func TestSlotReserve(t *testing.T) {
	const run, slots, engines = 2 * time.Second, 16, 90
	test.Eq(t, 0, SlotReserve(0, run, slots))
	test.Eq(t, 1, SlotReserve(269.0/engines, run, slots), test.Sprint("short questions, before classifications"))
	test.Eq(t, 2, SlotReserve((269.0+425)/engines, run, slots), test.Sprint("both, before long summaries"))
	test.Eq(t, 4, SlotReserve(1000, run, slots), test.Sprint("a quarter of the slots"))
	test.Eq(t, 0, SlotReserve(0.3, run, slots), test.Sprint("one of thirty runs ends after an urgent prompt arrived"))
	test.Eq(t, 0, SlotReserve(1000, run, 3))
	test.Eq(t, 0, SlotReserve(1000, run, 0), test.Sprint("unknown slots"))
}

// TestFreeShare guards against a share that is rounded down: one slot of four would count as a fifth
// and more, none of three, too.
func TestFreeShare(t *testing.T) {
	for _, tc := range []struct{ total, fullest int }{{16, 12}, {5, 4}, {4, 3}, {1, 0}} {
		for running := range tc.total + 1 {
			s := Slots{Total: tc.total, Running: running}
			test.Eq(t, running <= tc.fullest, s.Fits(s.FreeShare(0.2)), test.Sprint(s))
		}
	}
}

// TestOthers guards against slots that are reserved for a priority whose prompts stopped, and against
// a rate that counts less urgent prompts.
func TestOthers(t *testing.T) {
	var d Demand
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	test.Eq(t, Others{}, d.Others(1, now))
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		d.RecordArrival(2, now)
		d.RecordArrival(0, now)
	}
	urgent := d.Others(1, now)
	test.InDelta(t, 10, urgent.UrgentPerSecond, 0.5)
	test.True(t, urgent.MoreUrgent)
	test.True(t, urgent.LessUrgent)
	test.Eq(t, Others{LessUrgent: true}, d.Others(0, now))
	now = now.Add(recentArrival + time.Millisecond)
	test.Eq(t, Others{}, d.Others(1, now))
}

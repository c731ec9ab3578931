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

// TestOthers guards against slots that are left to priorities whose prompts stopped arriving, and
// against a priority that counts as its own competitor.
func TestOthers(t *testing.T) {
	var d Demand
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	check := func(priority int, want Others) {
		t.Helper()
		test.Eq(t, want, d.Others(priority, now))
	}
	check(1, Others{})
	d.RecordArrival(1, 2000, now)
	check(1, Others{})
	d.RecordArrival(0, 1000, now)
	d.RecordArrival(2, 12_000, now)
	check(1, Others{MoreUrgent: true, LessUrgent: true, LeastUrgentTokens: 12_000})
	check(0, Others{LessUrgent: true, LeastUrgentTokens: 12_000})
	check(2, Others{MoreUrgent: true})
	now = now.Add(recentArrival + time.Millisecond)
	check(1, Others{})
}

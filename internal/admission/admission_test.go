package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestFits(t *testing.T) {
	for _, tc := range []struct {
		name          string
		memory        Memory
		need, reserve int
		want          bool
	}{
		{"empty", Memory{Capacity: 1000}, 300, 0, true},
		{"just fits", Memory{Capacity: 1000, OccupiedTokens: 700}, 300, 0, true},
		{"one token too many", Memory{Capacity: 1000, OccupiedTokens: 701}, 300, 0, false},
		{"a small prompt requires the memory of a typical one", Memory{Capacity: 1000, OccupiedTokens: 701}, 10, 300, false},
		{"the reserve is bounded", Memory{Capacity: 1000, OccupiedTokens: 400}, 10, 5000, true},
		{"larger than the memory of an idle engine", Memory{Capacity: 1000}, 3000, 0, true},
		{"larger than the memory", Memory{Capacity: 1000, OccupiedTokens: 1}, 3000, 0, false},
		{"unknown memory", Memory{OccupiedTokens: 1 << 30}, 300, 300, true},
	} {
		test.Eq(t, tc.want, tc.memory.Fits(tc.need, tc.reserve), test.Sprint(tc.name))
	}
}

// TestWait checks the predicted time until enough memory is freed.
func TestWait(t *testing.T) {
	full := Memory{Capacity: 1000, OccupiedTokens: 1000}
	test.Eq(t, 500*time.Millisecond, full.Wait(250, 0, 2*time.Second))
	test.Eq(t, 2*time.Second, full.Wait(5000, 0, 2*time.Second), test.Sprint("until all runs have ended"))
	test.Eq(t, 0, Memory{Capacity: 1000}.Wait(250, 0, 2*time.Second))
}

// TestReserve checks that a prompt requires the free memory of a typical prompt of its priority,
// that of a large prompt while many are refused, and only its own size if its caller was refused
// before.
func TestReserve(t *testing.T) {
	var d Demand
	for i := range 40 {
		d.RecordSize(1, 100*(i+1))
		d.RecordSize(2, 50_000)
	}
	test.Eq(t, 3100, d.Reserve(1, false, 30_000))
	test.Eq(t, 0, d.Reserve(1, true, 30_000))
	test.Eq(t, 3100, d.Reserve(1, false, 30_999), test.Sprint("the memory holds nine prompts"))
	test.Eq(t, 0, d.Reserve(1, false, 31_000), test.Sprint("the memory holds ten prompts"))
	test.Eq(t, 0, d.Reserve(0, false, 30_000), test.Sprint("no prompt of that priority was recorded"))
	for range 15 {
		d.RecordDecision(true)
	}
	test.Eq(t, 3900, d.Reserve(1, false, 30_000))
	test.Eq(t, 3900, d.Reserve(1, true, 30_000))
	for range 60 {
		d.RecordDecision(false)
	}
	test.Eq(t, 3100, d.Reserve(1, false, 30_000))
}

// TestHoldsMany checks that HoldsMany compares the memory with thirty prompts of the mean size over
// all priorities.
func TestHoldsMany(t *testing.T) {
	var d Demand
	for range 1000 {
		d.RecordSize(1, 12_000)
		for range 8 {
			d.RecordSize(2, 1000)
		}
	}
	const mean = (12_000 + 8*1000) / 9
	test.True(t, d.HoldsMany(30*mean*11/10))
	test.False(t, d.HoldsMany(30*mean*9/10))
}

// TestRetriesAreSpread checks that each refused caller gets its own retry time, bounded by the
// maximum delay.
func TestRetriesAreSpread(t *testing.T) {
	var r RetrySchedule
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	after := func() time.Duration {
		return r.After(now, 100*time.Millisecond, 40*time.Millisecond, 200*time.Millisecond)
	}
	for _, want := range []time.Duration{100, 140, 180, 200, 200} {
		test.Eq(t, want*time.Millisecond, after())
	}
	now = now.Add(time.Second)
	test.Eq(t, 100*time.Millisecond, after(), test.Sprint("no other retry is pending"))
}

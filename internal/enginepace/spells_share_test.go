package enginepace

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestExpectedSpells guards against spells that are expected after a single fault of an engine, and
// against ones that are still expected long after engines ceased to turn slow.
func TestExpectedSpells(t *testing.T) {
	var s spells
	record := func(slow int, factor float64, lasts time.Duration) {
		for range int(lasts / TickInterval) {
			s.record(slow, 20, float64(slow)*factor)
		}
	}
	expect := func(what string, wantShare, wantFactor float64) {
		t.Helper()
		share, factor := s.expected()
		test.InDelta(t, wantShare, share, 0.02, test.Sprint(what))
		test.InDelta(t, wantFactor, factor, 0.1, test.Sprint(what))
	}
	expect("no observations", 0, 1)
	record(0, 0, time.Minute)
	record(1, 4, 5*time.Second)
	expect("one engine failed for 5 s", 0, 1)
	record(3, 2.5, 2*time.Minute)
	expect("three of twenty are slow at a time", 0.15, 2.5)
	s.record(0, 0, 0)
	expect("no streams", 0.15, 2.5)
	record(0, 0, time.Minute)
	expect("none is slow any more", 0, 1)
}

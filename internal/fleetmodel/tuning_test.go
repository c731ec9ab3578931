package fleetmodel

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/placer"
)

// TestTuning verifies that explicit default values don't change the result and that other values
// do.
func TestTuning(t *testing.T) {
	c := testConfig(2, 5, smallMemory, 1.5)
	c.Length = 10 * time.Second
	usual := describe(New(c).Simulate())
	share, tuning := forward.MaxWaitShare, placer.DefaultTuning()
	c.MaxWaitShare, c.Tuning = &share, &tuning
	test.Eq(t, usual, describe(New(c).Simulate()))
	for name, change := range map[string]func(*float64, *placer.Tuning){
		"waits longer": func(share *float64, _ *placer.Tuning) { *share = 0.5 },
		"no reserve":   func(_ *float64, tuning *placer.Tuning) { tuning.ReserveShare = 0 },
	} {
		share, tuning := forward.MaxWaitShare, placer.DefaultTuning()
		change(&share, &tuning)
		c.MaxWaitShare, c.Tuning = &share, &tuning
		test.NotEq(t, usual, describe(New(c).Simulate()), test.Sprint(name))
	}
}

// TestQueueShare verifies that no request is refused if QueueShare is too large to be reached. No
// memory is stated for the engines, so that requests are refused only for their expected wait.
func TestQueueShare(t *testing.T) {
	c := testConfig(2, 5, smallMemory, 1.5)
	c.Length, c.StatedMemory = 10*time.Second, 0
	usual := New(c).Simulate()
	c.Tuning = &placer.Tuning{QueueShare: 1000, ReserveShare: placer.DefaultTuning().ReserveShare}
	never := New(c).Simulate()
	t.Log(describe(usual))
	t.Log(describe(never))
	test.Positive(t, usual.FirstRefusals)
	test.Zero(t, never.FirstRefusals)
	test.Greater(t, usual.Preempted, never.Preempted)
}

package fleetmodel

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/placer"
)

// TestTuning leaves decisions as they are with the default shares, and changes them with others.
func TestTuning(t *testing.T) {
	c := site(2, 5, smallMemory, 1.5)
	c.Length = 10 * time.Second
	usual := describe(New(c).Play())
	share, tuning := forward.MaxWaitShare, placer.DefaultTuning()
	c.MaxWaitShare, c.Tuning = &share, &tuning
	test.Eq(t, usual, describe(New(c).Play()))
	for name, change := range map[string]func(*float64, *placer.Tuning){
		"waits longer": func(share *float64, _ *placer.Tuning) { *share = 0.5 },
		"no reserve":   func(_ *float64, tuning *placer.Tuning) { tuning.ReserveShare = 0 },
	} {
		share, tuning := forward.MaxWaitShare, placer.DefaultTuning()
		change(&share, &tuning)
		c.MaxWaitShare, c.Tuning = &share, &tuning
		test.NotEq(t, usual, describe(New(c).Play()), test.Sprint(name))
	}
}

// TestQueueShare plays engines of which no memory is stated, so that only late prompts are
// refused: none is where the share is never reached.
func TestQueueShare(t *testing.T) {
	c := site(2, 5, smallMemory, 1.5)
	c.Length, c.Told = 10*time.Second, 0
	usual := New(c).Play()
	c.Tuning = &placer.Tuning{QueueShare: 1000, ReserveShare: placer.DefaultTuning().ReserveShare}
	never := New(c).Play()
	t.Log(describe(usual))
	t.Log(describe(never))
	test.Positive(t, usual.Declined)
	test.Zero(t, never.Declined)
	test.Greater(t, usual.PutBack, never.PutBack)
}

package admission

import (
	"math"
	"time"
)

const (
	// maxSlotReserveShare bounds the slots that are kept free for more urgent prompts, as a share of
	// an engine's slots. Beyond it, less urgent prompts would be refused for a peak that lasts no
	// longer than one run.
	maxSlotReserveShare = 0.25
	// minExpectedPrompts is the expected number of more urgent prompts below which no slot is kept
	// free: fewer than one run in twenty then ends after such a prompt arrived, and a free slot would
	// be lost to all others.
	minExpectedPrompts = 0.05
)

// Slots is the estimated use of one engine's slots.
type Slots struct {
	Total   int // requests that run at the same time; 0 if unknown
	Running int // requests running there, queued there or in transit to it
}

// deficit returns how many runs must end before a prompt fits; 0 or less if it fits now.
func (s Slots) deficit(reserve int) int { return s.Running + 1 + max(reserve, 0) - s.Total }

// Fits reports whether the engine has a free slot for a prompt beyond the given number of slots that
// are reserved for others. An idle engine accepts any prompt.
func (s Slots) Fits(reserve int) bool {
	return s.Total <= 0 || s.Running <= 0 || s.deficit(reserve) <= 0
}

// Wait predicts the time until a prompt fits. It assumes that the runs in the slots end evenly spread
// over the duration run, and that queued requests take their places.
func (s Slots) Wait(reserve int, run time.Duration) time.Duration {
	if s.Fits(reserve) {
		return 0
	}
	ends := min(s.deficit(reserve), s.Running)
	return time.Duration(float64(ends) / float64(min(s.Running, s.Total)) * float64(run))
}

// SlotReserve returns the number of an engine's slots that a prompt must leave free for more urgent
// ones: the number of these that are expected until the next run there ends, plus one standard
// deviation of a Poisson process, rounded up, at most a quarter of the slots. perSecond is the rate of
// more urgent prompts at the engine, and run the duration of a run; a full engine ends one run in each
// run/total.
//
// It addresses engines whose slots run out before their memory: a more urgent prompt that finds no
// free slot preempts a run, whose prompt must then be read again.
func SlotReserve(perSecond float64, run time.Duration, total int) int {
	if total <= 0 {
		return 0
	}
	expected := perSecond * run.Seconds() / float64(total)
	if expected < minExpectedPrompts {
		return 0
	}
	return min(int(math.Ceil(expected+math.Sqrt(expected))), int(maxSlotReserveShare*float64(total)))
}

// FreeShare returns the reserve with which Fits requires the given share of the slots to be free.
func (s Slots) FreeShare(share float64) int { return int(math.Ceil(share*float64(s.Total))) - 1 }

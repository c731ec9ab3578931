package admission

import (
	"math"
	"time"
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

// FreeShare returns the reserve with which Fits requires the given share of the slots to be free.
func (s Slots) FreeShare(share float64) int { return int(math.Ceil(share*float64(s.Total))) - 1 }

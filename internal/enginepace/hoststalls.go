package enginepace

import "time"

const (
	// TickInterval is the time between two calls of Tracker.Tick.
	TickInterval = 25 * time.Millisecond
	// minHostStall is the lateness of a tick from which this node counts as stalled. Hosts with a
	// share of a core are stopped for up to 80 ms in each 100 ms while they use up that share.
	minHostStall = 5 * time.Millisecond
)

// hostStalls adds up the time during which this node was not running, as shown by late ticks. The
// events of all its streams are late by that time, whatever the engines do.
type hostStalls struct {
	total  time.Duration
	tickAt time.Time // of the last tick; zero before the first one
}

// tick records a tick.
func (h *hostStalls) tick(now time.Time) {
	h.total, h.tickAt = h.until(now), now
}

// until returns the sum until now, including a stall that the next tick will show.
func (h *hostStalls) until(now time.Time) time.Duration {
	if h.tickAt.IsZero() {
		return 0
	}
	if late := now.Sub(h.tickAt) - TickInterval; late >= minHostStall {
		return h.total + late
	}
	return h.total
}

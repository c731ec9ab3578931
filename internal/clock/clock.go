// Package clock measures elapsed time on a host that may be suspended.
//
// The monotonic clock of Go's time package stops while a host is suspended. Anything whose age it
// measures (a claim, a proof that keys are valid, a copy of the registry) would therefore be used
// after other nodes already consider it expired. The wall clock continues, but may be set.
//
// Guarantee: two readings of one Clock differ by the time that has passed between them, suspension
// included, whatever the wall clock is set to. The first reading after a suspension includes it.
//
// Compare times of a Clock only with times of the same Clock: time.Since and time.Until are wrong
// for them. Timers do not fire earlier because of a suspension; code that waits must read the clock
// again.
package clock

import "time"

// Clock measures elapsed time. A nil Clock is the monotonic clock and never reports a suspension.
type Clock struct {
	start     time.Time
	suspended func(now time.Time) time.Duration
}

// New returns a clock of a host whose total time in suspension is returned by suspended. That
// function receives the time of the monotonic clock, and its result must not decrease.
func New(suspended func(now time.Time) time.Duration) *Clock {
	return &Clock{start: time.Now(), suspended: suspended}
}

// System returns a clock of this host, based on CLOCK_BOOTTIME.
func System() *Clock { return New(newSuspension().suspendedUntil) }

// Now returns the current time.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if c == nil {
		return now
	}
	return c.start.Add(now.Sub(c.start) + c.suspended(now))
}

// Since returns the time that has passed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns how long the host has been suspended since the clock was created.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		return 0
	}
	return c.suspended(time.Now())
}

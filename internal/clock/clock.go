// Package clock tells how much time has passed on a host that may be suspended meanwhile.
//
// The steady clock of Go's time package stands still while a host is suspended: what is some
// seconds older than it seems (a claim, a proof that keys are valid, a copy of the registry) would
// be trusted for longer than others rely on. The time of day counts on, but may be set.
//
// Guarantee: times of one Clock differ by the time that has passed, suspension included, whatever
// the time of day is set to. The first reading after a suspension counts it.
//
// Times of a Clock are to be compared with times of the same Clock alone: time.Since and time.Until
// are wrong for them. Timers don't fire sooner by it: who waits looks at the clock again.
package clock

import "time"

// Clock counts the time that passes. A nil Clock is the steady clock, on which nothing is suspended.
type Clock struct {
	start     time.Time
	suspended func(now time.Time) time.Duration
}

// New returns a clock of a host that has been suspended for as long as suspended returns, which
// must not fall. It is told the steady clock's time.
func New(suspended func(now time.Time) time.Duration) *Clock {
	return &Clock{start: time.Now(), suspended: suspended}
}

// System returns a clock of this host, which reads CLOCK_BOOTTIME.
func System() *Clock { return New(newSuspension().at) }

// Now returns the present time.
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

// Suspended returns for how long the host has been suspended since the clock was made.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		return 0
	}
	return c.suspended(time.Now())
}

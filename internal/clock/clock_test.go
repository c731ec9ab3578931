package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestClockCountsSuspension checks that the clock includes a suspension that the monotonic clock
// does not count.
func TestClockCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		c := New(func(time.Time) time.Duration { return suspended })
		started, monotonic := c.Now(), time.Now()
		time.Sleep(time.Second)
		suspended += 5 * time.Second
		test.Eq(t, 6*time.Second, c.Since(started))
		test.Eq(t, -6*time.Second, c.Until(started))
		test.Eq(t, time.Second, time.Since(monotonic))
		test.Eq(t, 5*time.Second, c.Suspended())
		test.Eq(t, monotonic.Add(6*time.Second).UnixNano(), c.Now().UnixNano(), test.Sprint("must be the host's wall clock time"))
	})
}

// TestNilClock checks that a nil clock is the monotonic clock.
func TestNilClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c *Clock
		started := c.Now()
		time.Sleep(time.Second)
		test.Eq(t, time.Second, c.Since(started))
		test.Eq(t, 0, c.Suspended())
	})
}

// TestSystemNotSuspended checks that no suspension is reported on a host that was not suspended,
// however busy it is.
func TestSystemNotSuspended(t *testing.T) {
	c := System()
	for range 10_000 {
		test.Eq(t, 0, c.Suspended())
	}
}

// TestMeasurementTriggers checks that the first reading after the wall clock changed relative to
// the monotonic clock, in either direction, takes a measurement, and that measureInterval triggers
// one in any case.
func TestMeasurementTriggers(t *testing.T) {
	s := newSuspension()
	now := time.Now()
	s.suspendedUntil(now)
	measured := func(at time.Time) bool {
		s.initial -= time.Second // makes the next measurement return a second more
		before := s.total.Load()
		s.suspendedUntil(at)
		return s.total.Load() > before
	}
	test.False(t, measured(now.Add(time.Millisecond)))
	s.wallClockLead.Add(int64(2 * stepTolerance))
	test.True(t, measured(now.Add(2*time.Millisecond)))
	s.wallClockLead.Add(-int64(2 * stepTolerance))
	test.True(t, measured(now.Add(3*time.Millisecond)))
	test.False(t, measured(now.Add(4*time.Millisecond)))
	test.True(t, measured(now.Add(5*time.Millisecond+measureInterval)))
}

// BenchmarkNow measures one reading of the clock; a request needs about twelve.
func BenchmarkNow(b *testing.B) {
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	c := System()
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			_ = c.Now()
		}
	})
	b.Run("measured", func(b *testing.B) {
		for b.Loop() {
			_, _ = clockDifference()
		}
	})
}

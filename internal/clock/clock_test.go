package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

func TestClockCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		c := New(func(time.Time) time.Duration { return suspended })
		begun, steady := c.Now(), time.Now()
		time.Sleep(time.Second)
		suspended += 5 * time.Second
		test.Eq(t, 6*time.Second, c.Since(begun))
		test.Eq(t, -6*time.Second, c.Until(begun))
		test.Eq(t, time.Second, time.Since(steady))
		test.Eq(t, 5*time.Second, c.Suspended())
		test.Eq(t, steady.Add(6*time.Second).UnixNano(), c.Now().UnixNano(), test.Sprint("the time of day that the host has"))
	})
}

// TestNoClock: a nil clock is the steady one.
func TestNoClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c *Clock
		begun := c.Now()
		time.Sleep(time.Second)
		test.Eq(t, time.Second, c.Since(begun))
		test.Eq(t, 0, c.Suspended())
	})
}

// TestSystemWasNotSuspended: reading the clocks of this host one after the other shows none, however
// busy it is.
func TestSystemWasNotSuspended(t *testing.T) {
	c := System()
	for range 10_000 {
		test.Eq(t, 0, c.Suspended())
	}
}

// TestWhenItIsMeasured: the first look after the time of day moved against the steady clock measures,
// whichever way, and one from time to time does in any case.
func TestWhenItIsMeasured(t *testing.T) {
	s := newSuspension()
	now := time.Now()
	s.at(now)
	measured := func(at time.Time) bool {
		s.before -= time.Second // the next measurement finds a second more
		before := s.total.Load()
		s.at(at)
		return s.total.Load() > before
	}
	test.False(t, measured(now.Add(time.Millisecond)))
	s.ahead.Add(int64(2 * stepTolerance))
	test.True(t, measured(now.Add(2*time.Millisecond)))
	s.ahead.Add(-int64(2 * stepTolerance))
	test.True(t, measured(now.Add(3*time.Millisecond)))
	test.False(t, measured(now.Add(4*time.Millisecond)))
	test.True(t, measured(now.Add(5*time.Millisecond+measurePause)))
}

// BenchmarkNow: requests read the clock some dozen times.
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
			_, _ = difference()
		}
	})
}

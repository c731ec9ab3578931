package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is how far the time of day may move against the steady clock, as it is
	// disciplined all the time, before the suspended time is measured anew.
	stepTolerance = time.Millisecond
	// measurePause is the time between two measurements where the time of day shows none: it may
	// have been set back by as much as the host was suspended.
	measurePause = 100 * time.Millisecond
	// shortest is the shortest suspension that counts. The two clocks are read one after the other,
	// and a busy host may run something else in between.
	shortest = 5 * time.Millisecond
	// readings bounds how often both clocks are read for one measurement.
	readings = 5
)

// suspension measures for how long the host has been suspended, by the difference of CLOCK_BOOTTIME
// and CLOCK_MONOTONIC. Each takes a system call, so both are read only where the time of day, which
// comes with the steady clock for nothing, moved against that, and now and then.
type suspension struct {
	start  time.Time
	before time.Duration // how much the host had been suspended at the start

	total    atomic.Int64 // nanoseconds, never falls
	measured atomic.Int64 // steady nanoseconds from the start to the newest measurement
	ahead    atomic.Int64 // nanoseconds by which the time of day was ahead of the steady clock then
}

func newSuspension() *suspension {
	s := &suspension{start: time.Now()}
	s.before, _ = difference()
	return s
}

// at returns for how long the host has been suspended by a time of the steady clock.
func (s *suspension) at(now time.Time) time.Duration {
	steady := now.Sub(s.start)
	ahead := now.UnixNano() - int64(steady)
	moved := time.Duration(ahead - s.ahead.Load()).Abs()
	if moved > stepTolerance || steady-time.Duration(s.measured.Load()) > measurePause {
		s.measure()
		s.measured.Store(int64(steady))
		s.ahead.Store(ahead)
	}
	return time.Duration(s.total.Load())
}

func (s *suspension) measure() {
	all, ok := difference()
	if !ok {
		return
	}
	for {
		total := s.total.Load()
		if all-s.before < time.Duration(total)+shortest || s.total.CompareAndSwap(total, int64(all-s.before)) {
			return
		}
	}
}

// difference returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC, as exactly as they could
// be read within shortest; false where they could not.
func difference() (time.Duration, bool) {
	for range readings {
		first, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		boot, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, false
		}
		second, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		if second-first < shortest/2 {
			return boot - first, true
		}
	}
	return 0, false
}

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

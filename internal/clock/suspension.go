package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is how far the wall clock may change relative to the monotonic clock before the
	// time in suspension is measured again. The wall clock moves slightly all the time because time
	// synchronization adjusts its rate.
	stepTolerance = time.Millisecond
	// measureInterval is the time between two measurements while the wall clock indicates no
	// suspension: it may have been set back by exactly the time in suspension.
	measureInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is counted. The two clocks are read one after
	// the other, and a busy host may run something else in between.
	minSuspension = 5 * time.Millisecond
	// maxReadings is the maximum number of times that both clocks are read for one measurement.
	maxReadings = 5
)

// suspension measures how long the host has been suspended, as the difference of CLOCK_BOOTTIME and
// CLOCK_MONOTONIC. Reading each takes a system call, so both are read only if the wall clock, which
// every reading of the monotonic clock includes at no cost, changed relative to it, or if
// measureInterval has passed since the last measurement.
type suspension struct {
	start   time.Time
	initial time.Duration // time in suspension at the start

	total         atomic.Int64 // nanoseconds in suspension since the start, never decreases
	lastMeasured  atomic.Int64 // monotonic nanoseconds from the start to the last measurement
	wallClockLead atomic.Int64 // nanoseconds by which the wall clock led at the last measurement
}

func newSuspension() *suspension {
	s := &suspension{start: time.Now()}
	s.initial, _ = clockDifference()
	return s
}

// suspendedUntil returns how long the host has been suspended up to a time of the monotonic clock.
func (s *suspension) suspendedUntil(now time.Time) time.Duration {
	elapsed := now.Sub(s.start)
	wallClockLead := now.UnixNano() - int64(elapsed)
	moved := time.Duration(wallClockLead - s.wallClockLead.Load()).Abs()
	if moved > stepTolerance || elapsed-time.Duration(s.lastMeasured.Load()) > measureInterval {
		s.measure()
		s.lastMeasured.Store(int64(elapsed))
		s.wallClockLead.Store(wallClockLead)
	}
	return time.Duration(s.total.Load())
}

// measure updates the time in suspension if the clocks can be read and it grew by at least
// minSuspension.
func (s *suspension) measure() {
	suspended, ok := clockDifference()
	if !ok {
		return
	}
	for {
		total := s.total.Load()
		if suspended-s.initial < time.Duration(total)+minSuspension || s.total.CompareAndSwap(total, int64(suspended-s.initial)) {
			return
		}
	}
}

// clockDifference returns the difference between CLOCK_BOOTTIME and CLOCK_MONOTONIC, accurate to
// less than minSuspension. It returns false if the clocks could not be read that accurately.
func clockDifference() (time.Duration, bool) {
	for range maxReadings {
		first, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		boot, err := readClock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, false
		}
		second, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		if second-first < minSuspension/2 {
			return boot - first, true
		}
	}
	return 0, false
}

// readClock returns the time of the clock with the given id.
func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

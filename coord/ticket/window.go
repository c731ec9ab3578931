package ticket

import "github.com/bits-and-blooms/bitset"

// outcome is the recorded outcome of the ticket with one serial.
type outcome uint8

const (
	outcomeUnused  outcome = iota // the call was never started
	outcomeStarted                // the call was started; it is running, or its outcome is unknown
	outcomeRefused                // the service executed nothing, but the ticket is used up
	outcomeRan                    // the call ran to completion
)

// window holds the outcomes of the newest size serials of one account, in two
// bits each:
//
//   - neither bit: outcomeUnused
//   - started: outcomeStarted
//   - finished: outcomeRefused
//   - both: outcomeRan
//
// A serial's bits are at its value modulo size. The call of a serial that has left
// the window is never started.
type window struct {
	size     uint64
	next     uint64 // the next serial to issue
	started  *bitset.BitSet
	finished *bitset.BitSet
}

func newWindow(size uint64) window {
	return window{size: size, started: bitset.New(0), finished: bitset.New(0)}
}

// oldest returns the oldest serial in the window.
func (w *window) oldest() uint64 {
	if w.next <= w.size {
		return 0
	}
	return w.next - w.size
}

func (w *window) contains(serial uint64) bool {
	return serial >= w.oldest() && serial < w.next
}

// issue returns the next serial. In a full window it replaces the oldest one.
func (w *window) issue() uint64 {
	serial := w.next
	w.next++
	i := w.index(serial)
	w.started.Clear(i)
	w.finished.Clear(i)
	return serial
}

func (w *window) outcome(serial uint64) outcome {
	i := w.index(serial)
	switch {
	case w.started.Test(i) && w.finished.Test(i):
		return outcomeRan
	case w.started.Test(i):
		return outcomeStarted
	case w.finished.Test(i):
		return outcomeRefused
	}
	return outcomeUnused
}

// record stores the outcome, unless the serial has left the window.
func (w *window) record(serial uint64, o outcome) {
	if !w.contains(serial) {
		return
	}
	i := w.index(serial)
	w.started.SetTo(i, o == outcomeStarted || o == outcomeRan)
	w.finished.SetTo(i, o == outcomeRefused || o == outcomeRan)
}

func (w *window) index(serial uint64) uint {
	return uint(serial % w.size)
}

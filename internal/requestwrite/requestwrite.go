// Package requestwrite tracks the writing of a request while its answer is read.
//
// A connection reports a reset once only. If the writer of the request gets the error, the reader of the answer sees a
// regular end, which is what ends an answer without a length. Such an answer is complete only if its request was written.
package requestwrite

import (
	"fmt"
	"sync"
)

// Write is the writing of one request. It is safe for concurrent use.
type Write struct {
	done chan struct{}
	once sync.Once
	err  error // valid once done is closed
}

// New returns a Write that has not ended.
func New() *Write { return &Write{done: make(chan struct{})} }

// End ends the write with its error. Later calls, and calls of a nil *Write, have no effect.
func (w *Write) End(err error) {
	if w == nil {
		return
	}
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// Wait waits until the write has ended, and returns a CutOffError if it failed: then the end of the connection does not
// show that the answer is complete. A nil *Write has ended.
func (w *Write) Wait() error {
	if w == nil {
		return nil
	}
	<-w.done
	if w.err != nil {
		return &CutOffError{Err: w.err}
	}
	return nil
}

// Succeeded reports whether the whole request was written. It does not wait. A nil *Write has succeeded.
func (w *Write) Succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// CutOffError reports that the connection ended before the endpoint had taken the whole request. An answer whose end is
// that of the connection may be a part of what the endpoint meant to send.
type CutOffError struct{ Err error }

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("answer ended before its request was sent: %v", e.Err)
}

// Unwrap returns the error of writing the request.
func (e *CutOffError) Unwrap() error { return e.Err }

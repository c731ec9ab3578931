package fleet

import "sync/atomic"

// Load counts what this node has under way at an endpoint. Its zero value is
// ready for use, by several goroutines at once.
type Load struct {
	running atomic.Int64
	reading atomic.Int64 // prompt tokens that have to be read before a first event
}

// Begin counts a request with so many prompt tokens to read.
func (l *Load) Begin(tokens int) {
	l.running.Add(1)
	l.reading.Add(int64(tokens))
}

// FirstEvent notes that the prompt was read.
func (l *Load) FirstEvent(tokens int) { l.reading.Add(-int64(tokens)) }

// End notes that the request is over.
func (l *Load) End() { l.running.Add(-1) }

// Running returns the number of requests under way.
func (l *Load) Running() int { return int(l.running.Load()) }

// Reading returns the number of prompt tokens that wait to be read.
func (l *Load) Reading() int { return int(l.reading.Load()) }

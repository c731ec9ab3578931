package fleet

import "sync/atomic"

// Load counts what this node has under way at an endpoint. Its zero value is
// ready for use, by several goroutines at once.
type Load struct {
	running atomic.Int64
	reading atomic.Int64 // prompt tokens that have to be read before a first event
	holding atomic.Int64 // tokens in the endpoint's memory
}

// Begin counts a request with so many prompt tokens to read, which will hold so many
// in memory while it runs.
func (l *Load) Begin(reading, holding int) {
	l.running.Add(1)
	l.reading.Add(int64(reading))
	l.holding.Add(int64(holding))
}

// FirstEvent notes that the prompt was read.
func (l *Load) FirstEvent(tokens int) { l.reading.Add(-int64(tokens)) }

// End notes that the request, which held so many tokens, is over.
func (l *Load) End(holding int) {
	l.running.Add(-1)
	l.holding.Add(-int64(holding))
}

// Running returns the number of requests under way.
func (l *Load) Running() int { return int(l.running.Load()) }

// Reading returns the number of prompt tokens that wait to be read.
func (l *Load) Reading() int { return int(l.reading.Load()) }

// Holding returns the number of tokens that running requests hold in memory.
func (l *Load) Holding() int { return int(l.holding.Load()) }

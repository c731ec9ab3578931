package fleet

import "sync/atomic"

// Load counts this node's requests in flight at an endpoint and their tokens. The zero value is ready
// to use. It is safe for concurrent use.
type Load struct {
	running             atomic.Int64
	pendingPromptTokens atomic.Int64 // prompt tokens not yet processed, of requests without a first event
	heldTokens          atomic.Int64 // tokens held in the endpoint's memory
}

// Begin counts a new request with the given number of prompt tokens to process and of tokens to hold in
// memory while it runs.
func (l *Load) Begin(promptTokens, heldTokens int) {
	l.running.Add(1)
	l.pendingPromptTokens.Add(int64(promptTokens))
	l.heldTokens.Add(int64(heldTokens))
}

// FirstEvent records that the request's prompt tokens have been processed.
func (l *Load) FirstEvent(tokens int) { l.pendingPromptTokens.Add(-int64(tokens)) }

// End records that a request which held the given number of tokens has finished.
func (l *Load) End(heldTokens int) {
	l.running.Add(-1)
	l.heldTokens.Add(-int64(heldTokens))
}

// Running returns the number of requests in flight.
func (l *Load) Running() int { return int(l.running.Load()) }

// PendingPromptTokens returns the number of prompt tokens not yet processed.
func (l *Load) PendingPromptTokens() int { return int(l.pendingPromptTokens.Load()) }

// HeldTokens returns the number of tokens that requests in flight hold in memory.
func (l *Load) HeldTokens() int { return int(l.heldTokens.Load()) }

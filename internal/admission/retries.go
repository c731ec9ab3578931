package admission

import (
	"sync"
	"time"
)

// Returns spreads the callers that a node refuses, so that each comes back to a place of its
// own. It is safe for concurrent use.
type Returns struct {
	mu   sync.Mutex
	next time.Time // when the next caller may come back
}

// After returns when a caller that is refused now may come back: not before there is room,
// which is predicted to take wait, and one spacing after the one refused before. most bounds
// it, as callers don't wait for longer.
func (r *Returns) After(now time.Time, wait, spacing, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.Add(wait)
	if at.Before(r.next) {
		at = r.next
	}
	if last := now.Add(most); at.After(last) {
		at = last
	}
	r.next = at.Add(spacing)
	return at.Sub(now)
}

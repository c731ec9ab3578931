package admission

import (
	"sync"
	"time"
)

// RetrySchedule spreads the retries of the callers that a node refuses over time. It is safe for
// concurrent use.
type RetrySchedule struct {
	mu   sync.Mutex
	next time.Time // earliest retry of the next refused caller
}

// After returns the delay after which a caller refused now may retry: at least wait, the predicted
// time until there is room, and one spacing after the previously refused caller. It returns at most
// maxDelay, as callers don't wait longer.
func (r *RetrySchedule) After(now time.Time, wait, spacing, maxDelay time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	retryAt := now.Add(wait)
	if retryAt.Before(r.next) {
		retryAt = r.next
	}
	if last := now.Add(maxDelay); retryAt.After(last) {
		retryAt = last
	}
	r.next = retryAt.Add(spacing)
	return retryAt.Sub(now)
}

package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Signals are what one start of an endpoint has told of itself in answers: a rate limit, a backoff, that it
// drains. The zero value is that of one which has told nothing. It is safe for concurrent use.
type Signals struct {
	mu       sync.Mutex
	limit    atomic.Pointer[RateLimit] // written under mu; nil where it never named one
	backoff  atomic.Pointer[Backoff]   // written under mu; nil where it never asked for one
	draining atomic.Pointer[time.Time] // when it first told that it drains; nil where it never did
	// unread are the headers of the newest answer that could not be read; nil for none.
	unread atomic.Pointer[string]
}

// Unreadable notes headers of an answer that could not be read, and reports whether they are others than
// the last.
func (s *Signals) Unreadable(headers string) (changed bool) {
	before := s.unread.Swap(&headers)
	return before == nil || *before != headers
}

// SetDraining notes that it drains, which counts for good. It reports whether that is news.
func (s *Signals) SetDraining(at time.Time) (news bool) { return s.draining.CompareAndSwap(nil, &at) }

// Draining returns when it first told that it drains; false where it never did.
func (s *Signals) Draining() (since time.Time, draining bool) {
	if at := s.draining.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

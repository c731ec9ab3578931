package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Signals are what one start of an endpoint has reported about itself in answers: a rate limit, a
// backoff, that it drains. The zero value has no reports. It is safe for concurrent use.
type Signals struct {
	mu       sync.Mutex
	limit    atomic.Pointer[RateLimit] // written under mu; nil if never reported
	backoff  atomic.Pointer[Backoff]   // written under mu; nil if never requested
	draining atomic.Pointer[time.Time] // when it first reported that it drains; nil if never
	// unreadable holds the invalid headers of the latest answer that had any; nil if none had.
	unreadable atomic.Pointer[string]
	later      atomic.Pointer[laterStart] // the next known start of the endpoint; nil if there is none
}

// laterStart is the start of an endpoint that follows another.
type laterStart struct {
	signals   *Signals
	startedAt time.Time
}

// Unreadable records headers of an answer that could not be parsed, and reports whether they differ
// from the last such headers.
func (s *Signals) Unreadable(headers string) (changed bool) {
	previous := s.unreadable.Swap(&headers)
	return previous == nil || *previous != headers
}

// MarkDraining records that this start drains, which cannot be undone. It reports whether this was the
// first such report.
func (s *Signals) MarkDraining(at time.Time) (first bool) { return s.draining.CompareAndSwap(nil, &at) }

// Draining returns when this start first reported that it drains, or false if it never did.
func (s *Signals) Draining() (since time.Time, draining bool) {
	if at := s.draining.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

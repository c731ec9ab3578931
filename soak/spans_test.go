package soak

import (
	"sync"
	"time"
)

// spans holds periods of time, which may overlap, in which something is in effect, such as a fault.
type spans struct {
	mu   sync.Mutex
	list []*span
}

type span struct{ from, to time.Time }

// open starts a period and returns a function that ends it.
func (s *spans) open() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := &span{from: time.Now()}
	s.list = append(s.list, now)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now.to = time.Now()
	}
}

// noneWithin reports whether no period overlaps the time between from and to.
func (s *spans) noneWithin(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, period := range s.list {
		ended := !period.to.IsZero() && period.to.Before(from)
		if !ended && !period.from.After(to) {
			return false
		}
	}
	return true
}

// lastEnd returns the latest end of a period before a time, or that time itself if a period is in
// progress then. It returns the zero time if there is no such period.
func (s *spans) lastEnd(before time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, period := range s.list {
		switch {
		case period.from.After(before):
		case period.to.IsZero() || period.to.After(before):
			return before
		case period.to.After(last):
			last = period.to
		}
	}
	return last
}

// covers reports whether a single period covers the time between from and to completely.
func (s *spans) covers(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, period := range s.list {
		if !period.from.After(from) && (period.to.IsZero() || !period.to.Before(to)) {
			return true
		}
	}
	return false
}

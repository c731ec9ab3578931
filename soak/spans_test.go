package soak

import (
	"sync"
	"time"
)

// spans holds the times of troubles, which may overlap.
type spans struct {
	mu   sync.Mutex
	list []*span
}

type span struct{ from, to time.Time }

// open notes that a trouble begins, and returns a function that notes its end.
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

// calm reports whether no trouble touches the time from one moment to another.
func (s *spans) calm(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, trouble := range s.list {
		ended := !trouble.to.IsZero() && trouble.to.Before(from)
		if !ended && !trouble.from.After(to) {
			return false
		}
	}
	return true
}

// lastEnd returns the newest end of a trouble before a moment, or the moment itself
// while one lasts. It is the zero time if there was none.
func (s *spans) lastEnd(before time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, trouble := range s.list {
		switch {
		case trouble.from.After(before):
		case trouble.to.IsZero() || trouble.to.After(before):
			return before
		case trouble.to.After(last):
			last = trouble.to
		}
	}
	return last
}

// covers reports whether one trouble lasts over the whole time from one moment to another.
func (s *spans) covers(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, trouble := range s.list {
		if !trouble.from.After(from) && (trouble.to.IsZero() || !trouble.to.Before(to)) {
			return true
		}
	}
	return false
}

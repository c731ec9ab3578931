package soak

import (
	"slices"
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

// extended returns the periods, each extended by a time after its end. A period in progress has no end.
func (s *spans) extended(by time.Duration) []span {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []span
	for _, period := range s.list {
		copied := *period
		if !copied.to.IsZero() {
			copied.to = copied.to.Add(by)
		}
		list = append(list, copied)
	}
	return list
}

// gaps returns the stretches between two times in which none of the periods was in progress.
func gaps(periods []span, from, end time.Time) (free []span) {
	slices.SortFunc(periods, func(a, b span) int { return a.from.Compare(b.from) })
	for _, p := range periods {
		if p.from.After(from) && from.Before(end) {
			free = append(free, span{from, earlier(p.from, end)})
		}
		if p.to.IsZero() {
			return free
		}
		if p.to.After(from) {
			from = p.to
		}
	}
	if from.Before(end) {
		free = append(free, span{from, end})
	}
	return free
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// total returns the time of the stretches between from and to, without parts shorter than shortest.
func total(stretches []span, from, to time.Time, shortest time.Duration) (sum time.Duration) {
	for _, s := range stretches {
		if s.from.Before(from) {
			s.from = from
		}
		if length := earlier(s.to, to).Sub(s.from); length > 0 && length >= shortest {
			sum += length
		}
	}
	return sum
}

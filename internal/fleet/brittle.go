package fleet

import "time"

// Brittle is an endpoint's report that it fails if it refuses too many requests for want of room.
type Brittle struct {
	MaxRefusals int // refusals per second that it bears
	InForce     bool
	At          time.Time // when it was reported
}

// Brittle returns the report in force, or false if there is none.
func (s *Signals) Brittle() (Brittle, bool) {
	if b := s.brittle.Load(); b != nil && b.InForce {
		return *b, true
	}
	return Brittle{}, false
}

// SetBrittle records the report of an answer received at the given time. It reports whether the state
// changed.
func (s *Signals) SetBrittle(maxRefusals int, at time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.brittle.Load()
	if previous != nil && at.Before(previous.At) {
		return false
	}
	s.brittle.Store(&Brittle{MaxRefusals: maxRefusals, InForce: true, At: at})
	return previous == nil || !previous.InForce || previous.MaxRefusals != maxRefusals
}

// ClearBrittle records an answer without the report, to a request sent at sentAt and answered at
// answeredAt. It reports whether this ended the state. An answer to a request that was sent before the
// report is ignored.
func (s *Signals) ClearBrittle(sentAt, answeredAt time.Time) (ended bool) {
	if _, inForce := s.Brittle(); !inForce {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.brittle.Load()
	if sentAt.Before(previous.At) {
		return false
	}
	s.brittle.Store(&Brittle{At: answeredAt})
	return previous.InForce
}

// RecordRefusal records that the endpoint refused a request of this node for want of room.
func (s *Signals) RecordRefusal(at time.Time) { s.refused.Store(&at) }

// RefusedAt returns when the endpoint last refused a request of this node; zero if never.
func (s *Signals) RefusedAt() time.Time {
	if at := s.refused.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

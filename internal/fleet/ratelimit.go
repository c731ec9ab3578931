package fleet

import "time"

// RateLimit is the request rate limit that an endpoint last reported.
type RateLimit struct {
	// PerSecond is the number of requests per second that it accepts from all nodes together.
	PerSecond float64
	InForce   bool // false once the endpoint has stopped reporting a limit
	// At is when it was reported: when the answer with the limit was received, or when the request was
	// sent whose answer had none. Between the two the endpoint may have answered either way, so a limit
	// holds unless it is known to have ended.
	At time.Time
	// Direct is true if the endpoint reported it to this node, and false if another node relayed it.
	Direct bool
}

// RateLimit returns the last reported limit, or false if the endpoint never reported one.
func (s *Signals) RateLimit() (limit RateLimit, known bool) {
	if l := s.limit.Load(); l != nil {
		return *l, true
	}
	return RateLimit{}, false
}

// SetLimit records a limit from an answer received at the given time, unless a newer report is known.
// It reports whether the limit in force changed.
func (s *Signals) SetLimit(perSecond float64, at time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.limit.Load()
	if previous != nil && at.Before(previous.At) {
		return false
	}
	s.limit.Store(&RateLimit{PerSecond: perSecond, InForce: true, At: at, Direct: true})
	return previous == nil || !previous.InForce || previous.PerSecond != perSecond
}

// ClearLimit records an answer without a limit, to a request sent at sentAt. It reports whether this
// ended a limit. An answer to a request that was sent before the limit was reported is ignored.
func (s *Signals) ClearLimit(sentAt time.Time) (ended bool) {
	if s.limit.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.limit.Load()
	if sentAt.Before(previous.At) {
		return false
	}
	s.limit.Store(&RateLimit{At: sentAt, Direct: true})
	return previous.InForce
}

// RecordRelayedLimit records a limit, or the end of one, relayed by another node. It is ignored
// unless it is newer than the last report; the end of a limit is also ignored if no limit was reported.
// It reports whether the limit in force changed.
func (s *Signals) RecordRelayedLimit(l RateLimit) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.limit.Load()
	switch {
	case previous == nil && !l.InForce, previous != nil && !l.At.After(previous.At):
		return false
	}
	s.limit.Store(&l)
	return previous == nil || previous.InForce != l.InForce || l.InForce && previous.PerSecond != l.PerSecond
}

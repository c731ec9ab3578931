package fleet

import "time"

// RateLimit is what an endpoint told last of how many requests it takes.
type RateLimit struct {
	// PerSecond is the number of requests in a second that it takes from all nodes together.
	PerSecond float64
	InForce   bool      // false once it names no limit any more
	At        time.Time // when it told so
	// Own is true for what it told this node, and false for what another node tells.
	Own bool
}

// RateLimit returns what the endpoint told last of a limit; false where it never named one.
func (s *Signals) RateLimit() (limit RateLimit, known bool) {
	if l := s.limit.Load(); l != nil {
		return *l, true
	}
	return RateLimit{}, false
}

// SetLimit notes an answer that came at a time and names a limit. It reports whether that differs
// from what was known.
func (s *Signals) SetLimit(perSecond float64, at time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.limit.Load()
	if before != nil && at.Before(before.At) {
		return false
	}
	s.limit.Store(&RateLimit{PerSecond: perSecond, InForce: true, At: at, Own: true})
	return before == nil || !before.InForce || before.PerSecond != perSecond
}

// ClearLimit notes an answer that came at a time and names none. It reports whether that ends a
// limit: the answer to a request that was sent before the limit was named may only have come late.
func (s *Signals) ClearLimit(sent, at time.Time) (ended bool) {
	if s.limit.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.limit.Load()
	if sent.Before(before.At) {
		return false
	}
	s.limit.Store(&RateLimit{At: at, Own: true})
	return before.InForce
}

// HearLimit notes a limit, or its end, of which another node tells. It reports whether that differs from what was
// known; what is older than that changes nothing.
func (s *Signals) HearLimit(l RateLimit) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.limit.Load()
	switch {
	case before == nil && !l.InForce, before != nil && !l.At.After(before.At):
		return false
	}
	s.limit.Store(&l)
	return before == nil || before.InForce != l.InForce || l.InForce && before.PerSecond != l.PerSecond
}

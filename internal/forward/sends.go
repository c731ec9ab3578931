package forward

import "time"

// sends counts the sends of one request.
type sends struct {
	arrived   int // at an endpoint, as far as is known
	unreached int // no connection was found, so that nothing of the request was sent
	paid      int // repeats taken from the budget
}

// note counts a send.
func (s *sends) note(unreached bool) {
	if unreached {
		s.unreached++
		return
	}
	s.arrived++
}

// over reports whether the request was sent as often as it may be.
func (s *sends) over() bool { return s.arrived >= maxSends || s.unreached > maxUnreached }

// pay takes a repeat from the budget for the next send, unless it will be the first to arrive or the
// one that was paid for did not. It reports false where no repeat is left.
//
// The budget bounds what endpoints get beyond the first arrival of each request. When many endpoints
// end at once, sends that found nobody must not use up what refused and broken ones need.
func (s *sends) pay(budget *Budget, now time.Time) bool {
	if s.paid >= s.arrived {
		return true
	}
	if !budget.Repeat(now) {
		return false
	}
	s.paid++
	return true
}

package forward

import "time"

// sendCounts counts the sends of one request.
type sendCounts struct {
	reached     int // reached an endpoint, as far as is known
	unreachable int // failed to connect, so that nothing of the request was sent
	budgeted    int // retries withdrawn from the budget
}

// record counts a send.
func (s *sendCounts) record(connectFailed bool) {
	if connectFailed {
		s.unreachable++
		return
	}
	s.reached++
}

// exhausted reports whether the request was sent as often as allowed.
func (s *sendCounts) exhausted() bool {
	return s.reached >= maxSends || s.unreachable > maxConnectRetries
}

// takeFromBudget withdraws a retry from the budget for the next send. None is needed if no send has
// reached an endpoint yet, or if the last retry withdrawn was not used, because its send failed to
// connect. It reports true if the request may be sent, and false if the budget is exhausted.
//
// The budget limits what endpoints receive beyond the first delivery of each request. When many
// endpoints end at once, sends that fail to connect must not use up the retries needed for refused
// and broken requests.
func (s *sendCounts) takeFromBudget(budget *Budget, now time.Time) bool {
	if s.budgeted >= s.reached {
		return true
	}
	if !budget.WithdrawRetry(now) {
		return false
	}
	s.budgeted++
	return true
}

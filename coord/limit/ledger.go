package limit

import (
	"math"
	"time"
)

// ledger is a borrower's state for one account.
type ledger struct {
	settings Settings
	limit    Limit
	// staticRate, staticRuns and maxCharge are derived from settings and limit.
	staticRate Amount
	staticRuns int
	maxCharge  Amount

	// static is the unused amount of the static share at the time staticAt.
	static   Amount
	staticAt time.Time
	// credits are the borrowed amounts, the older one first.
	credits [2]credit
	// debt is the amount that was used but is not yet deducted from the static
	// share or, after a report, from the lender's pool.
	debt Amount
	// unreportedRefund is the overcharge that is not yet reported to the lender.
	unreportedRefund Amount
	activeRuns       int
	// currentSlots are the run slots of the latest grant. Slots of an earlier
	// grant remain valid as previousSlots until they expire, because their
	// lender counts them until then. The larger number applies.
	currentSlots  slots
	previousSlots slots

	// costSinceUpdate is the cost of all requests, admitted or not, since
	// demandAt; demand is the moving average per second.
	costSinceUpdate Amount
	demand          Amount
	demandAt        time.Time
	// refusedRuns counts the requests that were refused since the last request
	// to the lender because all run slots were in use. refused is the total
	// charge of the requests refused for other reasons, and minAmount is the
	// charge of the first of them.
	refused     Amount
	refusedRuns int
	minAmount   Amount

	requestSeq    uint64
	requestedAt   time.Time
	reportedDebt  Amount
	awaitingGrant bool
	retryAt       time.Time
	lastUsed      time.Time
}

// credit is a borrowed amount that may be used until the time in until.
type credit struct {
	amount Amount
	until  time.Time
}

// slots is a number of run slots that may be used until the time in until.
type slots struct {
	runs  int
	until time.Time
}

// validRuns returns the number of slots, or zero if they have expired.
func (s slots) validRuns(now time.Time) int {
	if now.Before(s.until) {
		return s.runs
	}
	return 0
}

// setLimit sets the limit and updates the values derived from it.
func (l *ledger) setLimit(limit Limit) {
	if l.limit == limit {
		return
	}
	l.limit = limit
	l.staticRate = l.settings.staticRate(limit)
	l.staticRuns = l.settings.staticRuns(limit)
	l.maxCharge = l.settings.maxCharge(limit)
}

// allow decides whether to admit a request of the given cost, and charges an
// admitted one. The charge is capped at maxCharge; the rest becomes debt.
func (l *ledger) allow(now time.Time, cost Amount) Decision {
	l.lastUsed = now
	l.costSinceUpdate = l.costSinceUpdate.add(cost)
	cost = l.limit.limitedFields(cost)
	charge := cost.minWith(l.maxCharge)
	if l.limit.Runs > 0 && l.activeRuns >= l.usableSlots(now) {
		l.refusedRuns++
		return Decision{Reason: RunLimitReached, RetryAfter: l.retryAfter(now, Amount{})}
	}
	l.refill(now)
	if available := l.available(now); !available.covers(charge) {
		l.recordRefusal(charge)
		return Decision{Reason: available.shortfallReason(charge), RetryAfter: l.retryAfter(now, charge)}
	}
	l.spend(now, charge)
	l.debt = l.debt.add(cost.sub(charge))
	l.activeRuns++
	return Decision{}
}

// recordRefusal adds the charge of a refused request to refused.
func (l *ledger) recordRefusal(charge Amount) {
	if l.minAmount == (Amount{}) {
		l.minAmount = charge
	}
	l.refused = l.refused.add(charge)
}

// usableSlots returns the number of run slots that the node may use.
func (l *ledger) usableSlots(now time.Time) int {
	return l.staticRuns + max(l.currentSlots.validRuns(now), l.previousSlots.validRuns(now))
}

// refill adds what the static share accrued since the last call, and deducts
// debt from it.
func (l *ledger) refill(now time.Time) {
	passed := now.Sub(l.staticAt).Seconds()
	if passed <= 0 {
		return
	}
	l.staticAt = now
	depth := l.settings.staticDepth(l.limit)
	l.static = l.static.add(l.staticRate.scale(passed)).minWith(depth)
	paid := l.debt.minWith(l.static).maxWith(Amount{})
	l.debt = l.debt.sub(paid)
	l.static = l.static.sub(paid)
}

// available returns the amount that can be charged now.
func (l *ledger) available(now time.Time) Amount {
	sum := l.static.sub(l.debt)
	for i := range l.credits {
		if now.Before(l.credits[i].until) {
			sum = sum.add(l.credits[i].amount)
		}
	}
	return sum
}

// spend deducts an available amount: from the credit that expires first, then
// from the other one, then from the static share.
func (l *ledger) spend(now time.Time, charge Amount) {
	for i := range l.credits {
		c := &l.credits[i]
		if !now.Before(c.until) {
			continue
		}
		deducted := charge.minWith(c.amount)
		c.amount = c.amount.sub(deducted)
		charge = charge.sub(deducted)
	}
	l.static = l.static.sub(charge)
}

// applyCorrection charges or refunds the difference between the actual and the
// estimated cost of a request. A refund reduces the debt first.
func (l *ledger) applyCorrection(now time.Time, delta Amount) {
	l.refill(now)
	if delta.Tokens > 0 {
		l.debt = l.debt.add(delta)
		return
	}
	refund := Amount{}.sub(delta)
	paid := refund.minWith(l.debt)
	l.debt = l.debt.sub(paid)
	l.unreportedRefund = l.unreportedRefund.add(refund.sub(paid))
}

// retryAfter returns the expected time until the charge is available, from the
// lender or from the static share, whichever is sooner. For a zero charge it
// returns the time until the next request may be sent to the lender.
func (l *ledger) retryAfter(now time.Time, charge Amount) time.Duration {
	lenderWait := max(l.retryAt.Sub(now), minRetry)
	seconds := charge.sub(l.available(now)).secondsToAccrue(l.staticRate)
	if charge == (Amount{}) || seconds >= lenderWait.Seconds() {
		return lenderWait
	}
	return max(time.Duration(math.Ceil(seconds*1000)), 1) * time.Millisecond
}

// evictable reports whether the ledger can be removed from memory, because it
// has been idle and holds no state that must be preserved.
func (l *ledger) evictable(now time.Time) bool {
	l.refill(now)
	depth := l.settings.staticDepth(l.limit)
	settled := l.activeRuns == 0 && l.debt == (Amount{}) && l.unreportedRefund == (Amount{})
	return settled && l.static.covers(depth) && now.Sub(l.lastUsed) > max(2*l.settings.Lease, l.settings.RunLease)
}

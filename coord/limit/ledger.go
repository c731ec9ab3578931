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

	// static is the unused part of the static share at the time staticAt.
	static   Amount
	staticAt time.Time
	// credits are the borrowed amounts, the older one first.
	credits [2]credit
	debt    Amount
	// unreportedRefund is the overcharge that is not yet reported to the lender.
	unreportedRefund Amount
	activeRuns       int
	// currentSlots are the run slots of the latest grant. Slots of an earlier
	// grant remain valid as previousSlots until they expire, because their
	// lender counts them until then. The larger number applies.
	currentSlots  slots
	previousSlots slots

	// usedSinceMeasure is the cost of all requests, admitted or not, since
	// demandAt; demand is the average per second.
	usedSinceMeasure Amount
	demand           Amount
	demandAt         time.Time
	// refused is the total charge of the requests refused since the last ask;
	// minAmount is the charge of the first of them.
	refused     Amount
	refusedRuns int
	minAmount   Amount

	askSeq        uint64
	askedAt       time.Time
	reportedDebt  Amount
	awaitingGrant bool
	retryAt       time.Time
	lastUsed      time.Time
}

// credit is a borrowed amount that may be used until the given time.
type credit struct {
	amount Amount
	until  time.Time
}

// slots is a number of run slots that may be used until the given time.
type slots struct {
	runs  int
	until time.Time
}

// inForce returns the number of slots, or zero if they have expired.
func (s slots) inForce(now time.Time) int {
	if now.Before(s.until) {
		return s.runs
	}
	return 0
}

// setLimit sets the limit and updates the values derived from it.
func (a *ledger) setLimit(limit Limit) {
	if a.limit == limit {
		return
	}
	a.limit = limit
	a.staticRate = a.settings.staticRate(limit)
	a.staticRuns = a.settings.staticRuns(limit)
	a.maxCharge = a.settings.maxCharge(limit)
}

// allow decides whether to admit a request of the given cost, and charges an
// admitted one. The charge is capped at maxCharge; the rest becomes debt.
func (a *ledger) allow(now time.Time, cost Amount) Decision {
	a.lastUsed = now
	a.usedSinceMeasure = a.usedSinceMeasure.add(cost)
	cost = a.limit.dropUnlimited(cost)
	charge := cost.minWith(a.maxCharge)
	if a.limit.Runs > 0 && a.activeRuns >= a.usableSlots(now) {
		a.refusedRuns++
		return Decision{Reason: RunsReached, RetryAfter: a.retryAfter(now, Amount{})}
	}
	a.refill(now)
	if available := a.available(now); !available.covers(charge) {
		a.recordRefusal(charge)
		return Decision{Reason: available.shortfallReason(charge), RetryAfter: a.retryAfter(now, charge)}
	}
	a.spend(now, charge)
	a.debt = a.debt.add(cost.sub(charge))
	a.activeRuns++
	return Decision{}
}

// recordRefusal adds the charge of a refused request to the pending demand.
func (a *ledger) recordRefusal(charge Amount) {
	if a.minAmount == (Amount{}) {
		a.minAmount = charge
	}
	a.refused = a.refused.add(charge)
}

// usableSlots returns the number of run slots that the node may use.
func (a *ledger) usableSlots(now time.Time) int {
	return a.staticRuns + max(a.currentSlots.inForce(now), a.previousSlots.inForce(now))
}

// refill adds what the static share earned since the last call, and pays debt
// from it.
func (a *ledger) refill(now time.Time) {
	passed := now.Sub(a.staticAt).Seconds()
	if passed <= 0 {
		return
	}
	a.staticAt = now
	depth := a.settings.staticDepth(a.limit)
	a.static = a.static.add(a.staticRate.scale(passed)).minWith(depth)
	paid := a.debt.minWith(a.static).maxWith(Amount{})
	a.debt = a.debt.sub(paid)
	a.static = a.static.sub(paid)
}

// available returns the amount that can be charged now.
func (a *ledger) available(now time.Time) Amount {
	sum := a.static.sub(a.debt)
	for i := range a.credits {
		if now.Before(a.credits[i].until) {
			sum = sum.add(a.credits[i].amount)
		}
	}
	return sum
}

// spend deducts an available amount: from the credit that expires first, then
// from the other one, then from the static share.
func (a *ledger) spend(now time.Time, charge Amount) {
	for i := range a.credits {
		c := &a.credits[i]
		if !now.Before(c.until) {
			continue
		}
		part := charge.minWith(c.amount)
		c.amount = c.amount.sub(part)
		charge = charge.sub(part)
	}
	a.static = a.static.sub(charge)
}

// applyCorrection charges or refunds the difference between the actual and the
// charged cost of a request. A refund reduces the debt first.
func (a *ledger) applyCorrection(now time.Time, delta Amount) {
	a.refill(now)
	if delta.Tokens > 0 {
		a.debt = a.debt.add(delta)
		return
	}
	refund := Amount{}.sub(delta)
	paid := refund.minWith(a.debt)
	a.debt = a.debt.sub(paid)
	a.unreportedRefund = a.unreportedRefund.add(refund.sub(paid))
}

// retryAfter returns the expected time until charge is available: when the
// lender can be asked again or, if sooner, when the static share covers it.
func (a *ledger) retryAfter(now time.Time, charge Amount) time.Duration {
	lease := max(a.retryAt.Sub(now), partRetry)
	seconds := charge.sub(a.available(now)).secondsToEarn(a.staticRate)
	if charge == (Amount{}) || seconds >= lease.Seconds() {
		return lease
	}
	return max(time.Duration(math.Ceil(seconds*1000)), 1) * time.Millisecond
}

// evictable reports whether the ledger can be removed from memory, that is,
// whether a new one would have the same state.
func (a *ledger) evictable(now time.Time) bool {
	a.refill(now)
	depth := a.settings.staticDepth(a.limit)
	settled := a.activeRuns == 0 && a.debt == (Amount{}) && a.unreportedRefund == (Amount{})
	return settled && a.static.covers(depth) && now.Sub(a.lastUsed) > max(2*a.settings.Lease, a.settings.RunLease)
}

package limit

import (
	"math"
	"time"
)

const (
	// refillThreshold is the fraction of the lease demand: a request is sent
	// when less than that is available.
	refillThreshold = 0.25
	// demandSmoothing is the weight of the latest sample in the moving average
	// of the demand.
	demandSmoothing = 0.5
	// minLeaseRequests is the minimum number of requests in one lease for which
	// an amount is requested in advance.
	minLeaseRequests = 2
)

// updateDemand updates the moving average of the demand, at most twice per
// lease. A sudden rise is detected earlier, by refusals.
func (a *ledger) updateDemand(now time.Time) {
	passed := now.Sub(a.demandAt)
	if passed < a.settings.Lease/2 {
		return
	}
	rate := a.limit.clamp(a.usedSinceMeasure.scale(1 / passed.Seconds()))
	a.demand = a.demand.scale(1 - demandSmoothing).add(rate.scale(demandSmoothing))
	a.usedSinceMeasure = Amount{}
	a.demandAt = now
}

// leaseDemand returns the expected usage during one lease beyond the static
// share, rounded up to whole requests. It is zero for rarely used accounts,
// because amounts requested in advance would mostly expire unused.
func (a *ledger) leaseDemand() Amount {
	lease := a.settings.Lease.Seconds()
	requests := a.demand.Requests * lease
	if requests < minLeaseRequests {
		return Amount{}
	}
	perRequest := a.demand.scale(1 / a.demand.Requests)
	wholeRequests := perRequest.scale(math.Ceil(requests))
	return a.limit.dropUnlimited(wholeRequests.sub(a.staticRate.scale(lease)).maxWith(Amount{}))
}

// desiredSlots returns the number of run slots to request beyond the static
// ones: enough for the active runs and the refused ones and, if that exceeds
// the static slots, a reserve. The reserve is an eighth of that number or, if
// more, an eighth of the expected starts per lease up to the active runs.
func (a *ledger) desiredSlots() int {
	if a.limit.Runs == 0 {
		return 0
	}
	needed := a.activeRuns + a.refusedRuns - a.staticRuns
	if needed <= 0 {
		return 0
	}
	starts := int(math.Ceil(a.demand.Requests * a.settings.Lease.Seconds() / 8))
	return min(needed+max(needed/8, min(starts, a.activeRuns)), a.limit.Runs)
}

// shouldRequest reports whether to send a request to the lender now.
func (a *ledger) shouldRequest(now time.Time) bool {
	if a.awaitingGrant && now.Sub(a.askedAt) < grantTimeout {
		return false
	}
	if a.slotsNeedRenewal(now) {
		return true
	}
	if now.Before(a.retryAt) {
		return false
	}
	short := a.limit.Runs > 0 && a.activeRuns > a.staticRuns+a.currentSlots.runs
	if short || a.refused != (Amount{}) || a.refusedRuns > 0 || a.shouldSettle(now) {
		return true
	}
	if !a.lastUsed.After(a.askedAt) {
		return false
	}
	need := a.leaseDemand()
	return !a.available(now).maxWith(Amount{}).covers(need.scale(refillThreshold))
}

// slotsNeedRenewal reports whether borrowed run slots that are in use expire
// within half a run lease and the latest request is at least a quarter of a run
// lease old.
func (a *ledger) slotsNeedRenewal(now time.Time) bool {
	if a.limit.Runs == 0 || a.activeRuns <= a.staticRuns {
		return false
	}
	return a.currentSlots.until.Sub(now) < a.settings.RunLease/2 && !now.Before(a.askedAt.Add(a.settings.RunLease/4))
}

// shouldSettle reports whether there are corrections to report and the latest
// request is more than one lease old.
func (a *ledger) shouldSettle(now time.Time) bool {
	if a.debt == (Amount{}) && a.unreportedRefund == (Amount{}) {
		return false
	}
	return now.Sub(a.askedAt) > a.settings.Lease
}

// buildAsk returns the ask for the lender as part of request number seq, and
// updates the ledger as if the request has been sent.
func (a *ledger) buildAsk(now time.Time, seq uint64) Ask {
	a.refill(now)
	remaining := a.available(now).add(a.debt)
	advance := a.leaseDemand().sub(remaining)
	amount := advance.maxWith(a.refused.minWith(a.limit.rate().scale(a.settings.Lease.Seconds())))
	amount = amount.maxWith(a.minAmount).maxWith(Amount{})
	if a.minAmount == (Amount{}) && amount != (Amount{}) {
		a.minAmount = a.limit.dropUnlimited(a.demand.scale(1 / a.demand.Requests)).minWith(a.maxCharge)
	}
	ask := Ask{
		Amount:    amount.ceil(),
		MinAmount: a.minAmount,
		Debt:      a.debt,
		Refund:    a.unreportedRefund,
		Runs:      a.desiredSlots(),
	}
	// A reduction of the run slots takes effect now, because the lender may lend
	// the freed slots to others as soon as it receives the request.
	a.currentSlots.runs = min(a.currentSlots.runs, ask.Runs)
	a.previousSlots.runs = min(a.previousSlots.runs, ask.Runs)
	// The refund is given up when the request is sent, whereas the debt is
	// cleared only when the grant arrives. A lost message therefore never
	// raises the limit.
	a.unreportedRefund = Amount{}
	a.reportedDebt = a.debt
	a.refused, a.refusedRuns, a.minAmount = Amount{}, 0, Amount{}
	a.askSeq, a.askedAt, a.awaitingGrant = seq, now, true
	return ask
}

// applyShare applies the lender's answer to the latest ask.
func (a *ledger) applyShare(now time.Time, share *Share) {
	if !a.awaitingGrant {
		return
	}
	a.awaitingGrant = false
	a.debt = a.debt.sub(a.reportedDebt).maxWith(Amount{})
	a.reportedDebt = Amount{}
	a.retryAt = now.Add(share.Wait.Duration())
	a.applySlots(now, slots{runs: share.Runs, until: a.askedAt.Add(a.settings.RunLease)})
	until := a.askedAt.Add(a.settings.Lease)
	if now.Before(until) && share.Amount != (Amount{}) {
		a.addCredit(now, credit{amount: share.Amount, until: until})
	}
}

// applySlots replaces the current slots by s. The replaced slots are kept as
// previous ones if there were more of them.
func (a *ledger) applySlots(now time.Time, s slots) {
	if !now.Before(s.until) {
		return
	}
	if a.currentSlots.inForce(now) > max(s.runs, a.previousSlots.inForce(now)) {
		a.previousSlots = a.currentSlots
	}
	a.currentSlots = s
}

// addCredit adds a credit. If two unexpired credits exist, they are merged into
// one that expires with the earlier of the two.
func (a *ledger) addCredit(now time.Time, c credit) {
	for i := range a.credits {
		if !now.Before(a.credits[i].until) {
			a.credits[i] = credit{}
		}
	}
	first, second := a.credits[0], a.credits[1]
	if first.amount != (Amount{}) {
		second = credit{amount: first.amount.add(second.amount), until: first.until}
	}
	a.credits = [2]credit{second, c}
}

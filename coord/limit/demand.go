package limit

import (
	"math"
	"time"
)

const (
	// requestThreshold is a fraction of the lease demand. A request is sent when
	// less than this fraction is available.
	requestThreshold = 0.25
	// demandSmoothing is the weight of the latest sample in the moving average
	// of the demand.
	demandSmoothing = 0.5
	// minLeaseRequests is the minimum number of client requests expected in one
	// lease for which an amount is borrowed in advance.
	minLeaseRequests = 2
)

// updateDemand updates the moving average of the demand, at most twice per
// lease. A sudden rise is detected earlier, by refusals.
func (l *ledger) updateDemand(now time.Time) {
	passed := now.Sub(l.demandAt)
	if passed < l.settings.Lease/2 {
		return
	}
	rate := l.limit.clamp(l.costSinceUpdate.scale(1 / passed.Seconds()))
	l.demand = l.demand.scale(1 - demandSmoothing).add(rate.scale(demandSmoothing))
	l.costSinceUpdate = Amount{}
	l.demandAt = now
}

// leaseDemand returns the expected usage during one lease, rounded up to whole
// requests, minus the static share. It is zero for rarely used accounts, because
// amounts borrowed in advance would mostly expire unused.
func (l *ledger) leaseDemand() Amount {
	lease := l.settings.Lease.Seconds()
	requests := l.demand.Requests * lease
	if requests < minLeaseRequests {
		return Amount{}
	}
	perRequest := l.demand.scale(1 / l.demand.Requests)
	wholeRequests := perRequest.scale(math.Ceil(requests))
	return l.limit.limitedFields(wholeRequests.sub(l.staticRate.scale(lease)).maxWith(Amount{}))
}

// desiredSlots returns the number of run slots to request beyond the static
// ones, at most limit.Runs: the slots needed for the active and the refused runs
// minus the static slots, plus a reserve. The reserve is an eighth of that
// difference, or an eighth of the starts expected in one lease but at most the
// number of active runs, whichever is larger. Without a need beyond the static
// slots, the result is zero.
func (l *ledger) desiredSlots() int {
	if l.limit.Runs == 0 {
		return 0
	}
	needed := l.activeRuns + l.refusedRuns - l.staticRuns
	if needed <= 0 {
		return 0
	}
	starts := int(math.Ceil(l.demand.Requests * l.settings.Lease.Seconds() / 8))
	return min(needed+max(needed/8, min(starts, l.activeRuns)), l.limit.Runs)
}

// shouldRequest reports whether to send a request to the lender now.
func (l *ledger) shouldRequest(now time.Time) bool {
	if l.awaitingGrant && now.Sub(l.requestedAt) < grantTimeout {
		return false
	}
	if l.slotsNeedRenewal(now) {
		return true
	}
	if now.Before(l.retryAt) {
		return false
	}
	short := l.limit.Runs > 0 && l.activeRuns > l.staticRuns+l.currentSlots.runs
	if short || l.refused != (Amount{}) || l.refusedRuns > 0 || l.shouldReportCorrections(now) {
		return true
	}
	if !l.lastUsed.After(l.requestedAt) {
		return false
	}
	need := l.leaseDemand()
	return !l.available(now).maxWith(Amount{}).covers(need.scale(requestThreshold))
}

// slotsNeedRenewal reports whether borrowed run slots that are in use expire
// within half a run lease and the latest request is at least a quarter of a run
// lease old.
func (l *ledger) slotsNeedRenewal(now time.Time) bool {
	if l.limit.Runs == 0 || l.activeRuns <= l.staticRuns {
		return false
	}
	return l.currentSlots.until.Sub(now) < l.settings.RunLease/2 && !now.Before(l.requestedAt.Add(l.settings.RunLease/4))
}

// shouldReportCorrections reports whether there are corrections to report and the
// latest request is more than one lease old.
func (l *ledger) shouldReportCorrections(now time.Time) bool {
	if l.debt == (Amount{}) && l.unreportedRefund == (Amount{}) {
		return false
	}
	return now.Sub(l.requestedAt) > l.settings.Lease
}

// buildAsk returns this account's entry in the request with sequence number seq,
// and updates the ledger as if the request had been sent.
func (l *ledger) buildAsk(now time.Time, seq uint64) Ask {
	l.refill(now)
	remaining := l.available(now).add(l.debt)
	advance := l.leaseDemand().sub(remaining)
	amount := advance.maxWith(l.refused.minWith(l.limit.rate().scale(l.settings.Lease.Seconds())))
	amount = amount.maxWith(l.minAmount).maxWith(Amount{})
	if l.minAmount == (Amount{}) && amount != (Amount{}) {
		l.minAmount = l.limit.limitedFields(l.demand.scale(1 / l.demand.Requests)).minWith(l.maxCharge)
	}
	ask := Ask{
		Amount:    amount.ceil(),
		MinAmount: l.minAmount,
		Debt:      l.debt,
		Refund:    l.unreportedRefund,
		Runs:      l.desiredSlots(),
	}
	// A reduction of the run slots takes effect now, because the lender may lend
	// the freed slots to others as soon as it receives the request.
	l.currentSlots.runs = min(l.currentSlots.runs, ask.Runs)
	l.previousSlots.runs = min(l.previousSlots.runs, ask.Runs)
	// The refund is cleared when the request is sent, the debt only when the
	// grant arrives. A lost message therefore never lets the account exceed its
	// limit.
	l.unreportedRefund = Amount{}
	l.reportedDebt = l.debt
	l.refused, l.refusedRuns, l.minAmount = Amount{}, 0, Amount{}
	l.requestSeq, l.requestedAt, l.awaitingGrant = seq, now, true
	return ask
}

// applyLoan applies the lender's answer to the latest request.
func (l *ledger) applyLoan(now time.Time, loan *Loan) {
	if !l.awaitingGrant {
		return
	}
	l.awaitingGrant = false
	l.debt = l.debt.sub(l.reportedDebt).maxWith(Amount{})
	l.reportedDebt = Amount{}
	l.retryAt = now.Add(loan.Wait.Duration())
	l.applySlots(now, slots{runs: loan.Runs, until: l.requestedAt.Add(l.settings.RunLease)})
	until := l.requestedAt.Add(l.settings.Lease)
	if now.Before(until) && loan.Amount != (Amount{}) {
		l.addCredit(now, credit{amount: loan.Amount, until: until})
	}
}

// applySlots replaces the current slots by s. The replaced slots are kept as
// previous ones if there were more of them.
func (l *ledger) applySlots(now time.Time, s slots) {
	if !now.Before(s.until) {
		return
	}
	if l.currentSlots.validRuns(now) > max(s.runs, l.previousSlots.validRuns(now)) {
		l.previousSlots = l.currentSlots
	}
	l.currentSlots = s
}

// addCredit adds a credit. If two unexpired credits exist, they are merged into
// one that expires with the earlier of the two.
func (l *ledger) addCredit(now time.Time, c credit) {
	for i := range l.credits {
		if !now.Before(l.credits[i].until) {
			l.credits[i] = credit{}
		}
	}
	first, second := l.credits[0], l.credits[1]
	if first.amount != (Amount{}) {
		second = credit{amount: first.amount.add(second.amount), until: first.until}
	}
	l.credits = [2]credit{second, c}
}

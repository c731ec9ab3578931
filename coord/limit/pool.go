package limit

import (
	"math"
	"time"
)

// borrowerRetentionLeases is the number of leases for which a lender keeps a
// borrower's state, with its latest request number, after its last request.
const borrowerRetentionLeases = 4

// pool is a lender's state for one account.
type pool struct {
	settings Settings
	limit    Limit
	// level is the amount that could be lent at the time levelAt.
	level   Amount
	levelAt time.Time
	// firstAskAt is the time of the first ask for the account.
	firstAskAt time.Time
	// lastAskAt is the time of the latest ask.
	lastAskAt time.Time
	parts     heldParts
	runParts  heldParts
	borrowers map[Process]*borrowerState
}

func newPool(now time.Time, s Settings) *pool {
	return &pool{
		settings:   s,
		levelAt:    now,
		firstAskAt: now,
		parts:      heldParts{lease: s.Lease, partLease: s.PartLease(), drift: s.Drift, held: map[NodeID]*heldPart{}},
		runParts:   heldParts{lease: s.RunLease, partLease: s.RunPartLease(), drift: s.Drift, held: map[NodeID]*heldPart{}},
		borrowers:  map[Process]*borrowerState{},
	}
}

// setLimit sets the limit; what was earned so far counts at the old one.
func (p *pool) setLimit(now time.Time, limit Limit) {
	if p.limit != limit {
		p.refill(now)
		p.limit = limit
	}
}

// borrowerState is a lender's state for one borrower of an account.
type borrowerState struct {
	seq       uint64
	lastAskAt time.Time
	// runs is the number of run slots lent until the time until. A borrower
	// that has not yet received a reduction may use formerRuns slots, at most
	// until formerUntil.
	runs        int
	until       time.Time
	formerRuns  int
	formerUntil time.Time
}

// inForce returns the number of run slots that the borrower may be using.
func (b *borrowerState) inForce(now time.Time) int {
	var runs int
	if now.Before(b.until) {
		runs = b.runs
	}
	if now.Before(b.formerUntil) {
		runs = max(runs, b.formerRuns)
	}
	return runs
}

// borrower returns the state of a borrower, creating it if absent.
func (p *pool) borrower(id Process) *borrowerState {
	b, ok := p.borrowers[id]
	if !ok {
		b = &borrowerState{}
		p.borrowers[id] = b
	}
	return b
}

// rate returns what the pool currently earns per second.
func (p *pool) rate(now time.Time) Amount {
	parts := min(p.parts.countCovering(now), p.settings.Parts)
	return p.settings.partRate(p.limit).scale(float64(parts))
}

// depth returns the maximum amount that the pool may currently hold.
func (p *pool) depth(now time.Time) Amount {
	return p.rate(now).scale(p.settings.Burst.Seconds())
}

// refill adds what each part earned since the last call while it covered
// leases, and discards what exceeds the depth allowed by the remaining parts.
func (p *pool) refill(now time.Time) {
	covered := p.parts.coveredTime(p.levelAt, now)
	covered = min(covered, now.Sub(p.levelAt)*time.Duration(p.settings.Parts))
	p.levelAt = now
	earned := p.settings.partRate(p.limit).scale(covered.Seconds())
	p.level = p.level.add(earned).minWith(p.depth(now))
}

// creditIdleTime adds what a part earned while it was not leased.
func (p *pool) creditIdleTime(now time.Time, idle time.Duration) {
	earned := p.settings.partRate(p.limit).scale(idle.Seconds())
	p.level = p.level.add(earned).minWith(p.depth(now))
}

// lend deducts an amount for one ask from the pool and returns it. If that is
// less than requested, it also returns the time until more is available.
func (p *pool) lend(now time.Time, ask *Ask) (Amount, Millis) {
	requested := p.limit.dropUnlimited(ask.Amount)
	minAmount := p.limit.dropUnlimited(ask.MinAmount).minWith(requested)
	if requested == (Amount{}) {
		return requested, 0
	}
	var wait Millis
	if !p.level.covers(requested) {
		wait = p.wait(now, minAmount)
	}
	if !p.level.covers(minAmount) {
		return Amount{}, wait
	}
	amount := requested.minWith(p.level).maxWith(Amount{})
	if amount.Requests > 1 {
		amount.Requests = math.Floor(amount.Requests) // a fraction would expire unused
	}
	amount.Tokens = math.Floor(amount.Tokens)
	p.level = p.level.sub(amount)
	return amount, wait
}

// wait returns the time until the pool is expected to cover minAmount.
func (p *pool) wait(now time.Time, minAmount Amount) Millis {
	seconds := minAmount.sub(p.level).secondsToEarn(p.rate(now))
	maxWait := p.settings.PartLease()
	if seconds < maxWait.Seconds() {
		maxWait = time.Duration(seconds * float64(time.Second))
	}
	if p.parts.countCovering(now) == 0 {
		return p.partWait(now, p.parts)
	}
	return millis(max(maxWait, partRetry))
}

// partWait returns the time after which to retry when parts do not allow more:
// a quarter of a lease, or less if the lender holds no part and was first asked
// only recently, because it is then about to acquire its parts.
func (p *pool) partWait(now time.Time, parts heldParts) Millis {
	maxWait := p.settings.Lease / 4
	if parts.countCovering(now) > 0 {
		return millis(maxWait)
	}
	return millis(min(max(now.Sub(p.firstAskAt), partRetry), maxWait))
}

// runsInForce returns the number of run slots that borrowers other than except
// may be using.
func (p *pool) runsInForce(now time.Time, except *borrowerState) int {
	var runs int
	for _, b := range p.borrowers {
		if b != except {
			runs += b.inForce(now)
		}
	}
	return runs
}

// lendRuns sets a borrower's run slots to the requested number, as far as the
// parts held allow, renews their lease and returns their number.
func (p *pool) lendRuns(now time.Time, b *borrowerState, requested int) int {
	if p.limit.Runs == 0 {
		return 0
	}
	free := p.settings.poolRuns(p.limit, p.runParts.countCovering(now)) - p.runsInForce(now, b)
	runs := max(min(requested, free), 0)
	if former := b.inForce(now); former > runs && requested > runs {
		// The borrower gets fewer slots than it has and requested, and may use
		// the former number until it receives the grant.
		b.formerRuns = former
		b.formerUntil = laterOf(b.until, b.formerUntil)
	}
	b.runs = runs
	b.until = now.Add(p.settings.RunLease + p.settings.Drift)
	return runs
}

// removeExpired removes expired parts and the borrowers whose last request is
// older than the retention time. It reports whether the pool holds no state and
// can be removed.
func (p *pool) removeExpired(now time.Time) (idle bool) {
	retention := borrowerRetentionLeases * max(p.settings.Lease, p.settings.RunLease)
	for id, b := range p.borrowers {
		if now.Sub(b.lastAskAt) > retention {
			delete(p.borrowers, id)
		}
	}
	noParts := p.parts.removeExpired(now)
	noRunParts := p.runParts.removeExpired(now)
	return noParts && noRunParts && len(p.borrowers) == 0
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

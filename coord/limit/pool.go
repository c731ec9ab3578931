package limit

import (
	"math"
	"time"
)

// borrowerRetentionLeases determines when a lender removes a borrower's state,
// and with it the latest sequence number: this many leases after the borrower's
// last request. The longer one of Lease and RunLease counts.
const borrowerRetentionLeases = 4

// pool is a lender's state for one account.
type pool struct {
	settings Settings
	limit    Limit
	// level is the amount that could be lent at the time levelAt.
	level   Amount
	levelAt time.Time
	// firstRequestAt is the time of the first request for the account.
	firstRequestAt time.Time
	// lastRequestAt is the time of the latest request.
	lastRequestAt time.Time
	parts         lenderParts
	runParts      lenderParts
	borrowers     map[Incarnation]*borrowerState
}

func newPool(now time.Time, s Settings) *pool {
	return &pool{
		settings:       s,
		levelAt:        now,
		firstRequestAt: now,
		parts:          lenderParts{lease: s.Lease, partLease: s.PartLease(), drift: s.Drift, byKeeper: map[NodeID]*lenderPart{}},
		runParts:       lenderParts{lease: s.RunLease, partLease: s.RunPartLease(), drift: s.Drift, byKeeper: map[NodeID]*lenderPart{}},
		borrowers:      map[Incarnation]*borrowerState{},
	}
}

// setLimit sets the limit. The amount accrued so far is computed with the old
// limit.
func (p *pool) setLimit(now time.Time, limit Limit) {
	if p.limit != limit {
		p.refill(now)
		p.limit = limit
	}
}

// borrowerState is a lender's state for one borrower of an account.
type borrowerState struct {
	seq           uint64
	lastRequestAt time.Time
	// runs slots are lent; the loan ends at until. After a reduction that the
	// borrower did not request, it may use previousRuns slots until those
	// expire, at previousUntil at the latest.
	runs          int
	until         time.Time
	previousRuns  int
	previousUntil time.Time
}

// validRuns returns the number of run slots that the borrower may be using.
func (b *borrowerState) validRuns(now time.Time) int {
	var runs int
	if now.Before(b.until) {
		runs = b.runs
	}
	if now.Before(b.previousUntil) {
		runs = max(runs, b.previousRuns)
	}
	return runs
}

// borrower returns the state of a borrower, creating it if absent.
func (p *pool) borrower(id Incarnation) *borrowerState {
	b, ok := p.borrowers[id]
	if !ok {
		b = &borrowerState{}
		p.borrowers[id] = b
	}
	return b
}

// rate returns the amount that the pool currently accrues per second.
func (p *pool) rate(now time.Time) Amount {
	parts := min(p.parts.countLendable(now), p.settings.Parts)
	return p.settings.partRate(p.limit).scale(float64(parts))
}

// depth returns the maximum amount that the pool may currently hold.
func (p *pool) depth(now time.Time) Amount {
	return p.rate(now).scale(p.settings.Burst.Seconds())
}

// refill adds the amount that the parts accrued since the last call while they
// were lendable, and discards what exceeds the depth allowed by the remaining
// parts.
func (p *pool) refill(now time.Time) {
	lendable := p.parts.lendableTime(p.levelAt, now)
	lendable = min(lendable, now.Sub(p.levelAt)*time.Duration(p.settings.Parts))
	p.levelAt = now
	accrued := p.settings.partRate(p.limit).scale(lendable.Seconds())
	p.level = p.level.add(accrued).minWith(p.depth(now))
}

// creditIdleTime adds the amount that a part accrued while it was not leased.
func (p *pool) creditIdleTime(now time.Time, idle time.Duration) {
	accrued := p.settings.partRate(p.limit).scale(idle.Seconds())
	p.level = p.level.add(accrued).minWith(p.depth(now))
}

// lend deducts an amount for one ask from the pool and returns it. If the pool
// does not cover the requested amount, lend also returns the time after which
// the borrower can send the next request.
func (p *pool) lend(now time.Time, ask *Ask) (Amount, Millis) {
	requested := p.limit.limitedFields(ask.Amount)
	minAmount := p.limit.limitedFields(ask.MinAmount).minWith(requested)
	if requested == (Amount{}) {
		return requested, 0
	}
	var wait Millis
	if !p.level.covers(requested) {
		wait = p.timeToCover(now, minAmount)
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

// timeToCover returns the time until the pool is expected to cover minAmount, at
// least minRetry and at most a part lease. If no part is lendable, it returns
// partWait.
func (p *pool) timeToCover(now time.Time, minAmount Amount) Millis {
	seconds := minAmount.sub(p.level).secondsToAccrue(p.rate(now))
	wait := p.settings.PartLease()
	if seconds < wait.Seconds() {
		wait = time.Duration(seconds * float64(time.Second))
	}
	if p.parts.countLendable(now) == 0 {
		return p.partWait(now, p.parts)
	}
	return millis(max(wait, minRetry))
}

// partWait returns the time after which to retry when the given parts do not
// suffice: a quarter of Settings.Lease. It is less if no part is lendable and the
// lender received its first request only recently, because the lender is then
// about to acquire its parts.
func (p *pool) partWait(now time.Time, parts lenderParts) Millis {
	maxWait := p.settings.Lease / 4
	if parts.countLendable(now) > 0 {
		return millis(maxWait)
	}
	return millis(min(max(now.Sub(p.firstRequestAt), minRetry), maxWait))
}

// totalValidRuns returns the number of run slots that all borrowers except the
// one in skipped may be using. skipped may be nil.
func (p *pool) totalValidRuns(now time.Time, skipped *borrowerState) int {
	var runs int
	for _, b := range p.borrowers {
		if b != skipped {
			runs += b.validRuns(now)
		}
	}
	return runs
}

// lendRuns sets a borrower's run slots to the requested number, or to fewer if
// the lendable parts do not suffice, and renews their lease. It returns the
// number of slots.
func (p *pool) lendRuns(now time.Time, b *borrowerState, requested int) int {
	if p.limit.Runs == 0 {
		return 0
	}
	free := p.settings.poolRuns(p.limit, p.runParts.countLendable(now)) - p.totalValidRuns(now, b)
	runs := max(min(requested, free), 0)
	if previous := b.validRuns(now); previous > runs && requested > runs {
		// The borrower gets fewer slots than it has and requested. It may use
		// the previous number until those slots expire.
		b.previousRuns = previous
		b.previousUntil = laterOf(b.until, b.previousUntil)
	}
	b.runs = runs
	b.until = now.Add(p.settings.RunLease + p.settings.Drift)
	return runs
}

// removeExpired removes expired parts and the borrowers whose last request is
// older than the retention time. It reports whether the pool holds no state and
// can be removed.
func (p *pool) removeExpired(now time.Time) (empty bool) {
	retention := borrowerRetentionLeases * max(p.settings.Lease, p.settings.RunLease)
	for id, b := range p.borrowers {
		if now.Sub(b.lastRequestAt) > retention {
			delete(p.borrowers, id)
		}
	}
	noParts := p.parts.removeExpired(now)
	noRunParts := p.runParts.removeExpired(now)
	return noParts && noRunParts && len(p.borrowers) == 0
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

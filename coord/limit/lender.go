package limit

import (
	"maps"
	"slices"
	"time"
)

// minRetry is the minimum time until a borrower's next request to the lender, as
// returned in a grant and assumed in Decision.RetryAfter.
const minRetry = 50 * time.Millisecond

// Lender acquires parts of the accounts' pools from keepers and lends their
// amounts and run slots to borrowers. It is not safe for concurrent use.
type Lender struct {
	cfg      LenderConfig
	seq      uint64
	accounts map[string]*pool
}

// LenderConfig configures a Lender. The functions must return quickly and must
// not call the lender.
type LenderConfig struct {
	Settings Settings
	Self     Incarnation
	// Limits returns an account's limit, and false for an unknown account.
	Limits func(account string) (Limit, bool)
	// Owner returns the node that this node currently considers the account's
	// owner. A lender that is no longer the owner still answers borrowers, but
	// releases its parts.
	Owner func(account string) NodeID
	// Keepers returns the keepers of an account; see NewKeeper.
	Keepers func(account string) []NodeID
}

// NewLender returns a lender that holds no parts.
func NewLender(cfg LenderConfig) *Lender {
	return &Lender{cfg: cfg, accounts: map[string]*pool{}}
}

// Accounts returns the number of accounts whose state is held in memory.
func (l *Lender) Accounts() int { return len(l.accounts) }

// Handle processes a borrower's request and returns the grant. Asks of repeated
// or superseded requests and of unknown accounts get no loan.
func (l *Lender) Handle(now time.Time, req LeaseRequest) LeaseGrant {
	grant := LeaseGrant{Seq: req.Seq}
	for i := range req.Asks {
		ask := &req.Asks[i]
		p := l.pool(now, ask.Account)
		if p == nil {
			continue
		}
		b := p.borrower(req.From)
		if req.Seq <= b.seq {
			continue
		}
		b.seq = req.Seq
		b.lastRequestAt = now
		grant.Loans = append(grant.Loans, l.allocate(now, p, b, ask))
	}
	return grant
}

// pool returns the state of an account, creating it on first use. It returns
// nil for an unknown account.
func (l *Lender) pool(now time.Time, account string) *pool {
	limit, known := l.cfg.Limits(account)
	if !known {
		return nil
	}
	p, ok := l.accounts[account]
	if !ok {
		p = newPool(now, l.cfg.Settings)
		l.accounts[account] = p
	}
	p.setLimit(now, limit)
	p.lastRequestAt = now
	return p
}

// allocate returns the loan granted for one ask and deducts it from the pool.
func (l *Lender) allocate(now time.Time, p *pool, b *borrowerState, ask *Ask) Loan {
	p.refill(now)
	p.level = p.level.sub(ask.Debt).add(ask.Refund).minWith(p.depth(now))
	loan := Loan{Account: ask.Account}
	loan.Amount, loan.Wait = p.lend(now, ask)
	loan.Runs = p.lendRuns(now, b, ask.Runs)
	if loan.Runs < ask.Runs {
		loan.Wait = max(loan.Wait, p.partWait(now, p.runParts))
	}
	return loan
}

// Next returns the requests to send to keepers now. For an account with a
// borrower's request during the last run lease, they acquire missing parts and
// renew parts before the rest of their lease becomes shorter than a lease to a
// borrower. For an account that this node no longer owns, they release the parts.
// Next also removes idle accounts. Call it about every Lease/10, and after Handle
// returned a loan with a Wait.
func (l *Lender) Next(now time.Time) []PartCall {
	l.seq++
	calls := map[NodeID]*PartRequest{}
	for account, p := range l.accounts {
		if p.removeExpired(now) {
			delete(l.accounts, account)
			continue
		}
		if l.cfg.Owner(account) != l.cfg.Self.Node {
			l.release(now, calls, account, p)
			continue
		}
		if now.Sub(p.lastRequestAt) <= l.cfg.Settings.RunLease {
			l.acquire(now, calls, account, p)
		}
	}
	return partCalls(calls)
}

// acquire adds requests for the parts that are missing or need renewal.
func (l *Lender) acquire(now time.Time, calls map[NodeID]*PartRequest, account string, p *pool) {
	for _, keeper := range l.cfg.Keepers(account) {
		if p.parts.shouldRequest(now, keeper) {
			req := l.request(calls, keeper)
			p.parts.recordRequest(now, keeper, req.Seq)
			req.Acquire = append(req.Acquire, account)
		}
		if p.limit.Runs > 0 && p.runParts.shouldRequest(now, keeper) {
			req := l.request(calls, keeper)
			p.runParts.recordRequest(now, keeper, req.Seq)
			req.AcquireRuns = append(req.AcquireRuns, account)
		}
	}
}

// release adds requests that release the account's parts, and removes the parts.
// It does nothing while lent run slots are still valid. The requests go to the
// keepers of the rate parts; a run part whose rate part is no longer recorded is
// removed without a request, and its lease expires.
func (l *Lender) release(now time.Time, calls map[NodeID]*PartRequest, account string, p *pool) {
	p.refill(now)
	if p.totalValidRuns(now, nil) > 0 {
		return
	}
	for keeper := range p.parts.byKeeper {
		req := l.request(calls, keeper)
		req.Release = append(req.Release, account)
	}
	clear(p.parts.byKeeper)
	clear(p.runParts.byKeeper)
}

// request returns the pending request to keeper, creating it if absent.
func (l *Lender) request(calls map[NodeID]*PartRequest, keeper NodeID) *PartRequest {
	req, ok := calls[keeper]
	if !ok {
		req = &PartRequest{From: l.cfg.Self, Seq: l.seq}
		calls[keeper] = req
	}
	return req
}

// partCalls returns the requests sorted by keeper, each with sorted accounts.
func partCalls(requests map[NodeID]*PartRequest) []PartCall {
	calls := make([]PartCall, 0, len(requests))
	for _, keeper := range slices.Sorted(maps.Keys(requests)) {
		req := requests[keeper]
		slices.Sort(req.Acquire)
		slices.Sort(req.AcquireRuns)
		slices.Sort(req.Release)
		calls = append(calls, PartCall{To: keeper, Request: *req})
	}
	return calls
}

// Receive applies a keeper's grant. Grants for superseded requests are ignored.
func (l *Lender) Receive(now time.Time, grant PartGrant) {
	for _, granted := range grant.Parts {
		p, ok := l.accounts[granted.Account]
		if !ok {
			continue
		}
		p.refill(now)
		if p.parts.recordGrant(grant.From, grant.Seq) {
			p.creditIdleTime(now, granted.Idle.Duration())
		}
	}
	for _, account := range grant.RunParts {
		if p, ok := l.accounts[account]; ok {
			p.runParts.recordGrant(grant.From, grant.Seq)
		}
	}
}

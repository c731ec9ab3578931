package limit

import (
	"maps"
	"slices"
	"time"
)

// partRetry is the minimum time after which a borrower retries when the lender
// holds no part yet.
const partRetry = 50 * time.Millisecond

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
	Self     Process
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
// or superseded requests and of unknown accounts get no share.
func (l *Lender) Handle(now time.Time, req Request) Grant {
	grant := Grant{Seq: req.Seq}
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
		b.lastAskAt = now
		grant.Shares = append(grant.Shares, l.allocate(now, p, b, ask))
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
	p.lastAskAt = now
	return p
}

// allocate returns the share granted for one ask and deducts it from the pool.
func (l *Lender) allocate(now time.Time, p *pool, b *borrowerState, ask *Ask) Share {
	p.refill(now)
	p.level = p.level.sub(ask.Debt).add(ask.Refund).minWith(p.depth(now))
	share := Share{Account: ask.Account}
	share.Amount, share.Wait = p.lend(now, ask)
	share.Runs = p.lendRuns(now, b, ask.Runs)
	if share.Runs < ask.Runs {
		share.Wait = max(share.Wait, p.partWait(now, p.runParts))
	}
	return share
}

// Next returns the requests to send to keepers now: to acquire missing parts, to
// renew parts before the rest of their lease gets shorter than a lease to a
// borrower, and to release parts. Call it about every Lease/10, and after Handle
// returned a share with a Wait.
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
		if now.Sub(p.lastAskAt) <= l.cfg.Settings.RunLease {
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

// release adds requests that release all parts of the account, unless lent run
// slots that depend on them are still valid.
func (l *Lender) release(now time.Time, calls map[NodeID]*PartRequest, account string, p *pool) {
	p.refill(now)
	if p.runsInForce(now, nil) > 0 {
		return
	}
	for keeper := range p.parts.held {
		req := l.request(calls, keeper)
		req.Release = append(req.Release, account)
	}
	clear(p.parts.held)
	clear(p.runParts.held)
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

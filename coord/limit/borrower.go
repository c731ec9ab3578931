package limit

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// grantTimeout is how long the sender of a request waits for its grant before
// it may send another one.
const grantTimeout = 500 * time.Millisecond

// Reason is the result of an admission decision.
type Reason int

const (
	// Allowed means that the request was admitted.
	Allowed Reason = iota
	// UnknownAccount means that no limit is configured for the account; its
	// requests are refused.
	UnknownAccount
	// RequestLimitReached means that less than one request is currently
	// available to the node for the account.
	RequestLimitReached
	// TokenLimitReached means that a request is available to the node, but fewer
	// tokens than the request needs.
	TokenLimitReached
	// RunLimitReached means that all run slots that the node has for the account are
	// in use.
	RunLimitReached
)

// Decision is the result of Borrower.Allow.
type Decision struct {
	Reason Reason
	// RetryAfter is the expected time until the request can be admitted. It is
	// zero for an allowed request and for an unknown account. If it is short,
	// queue the request on the node instead of refusing it.
	RetryAfter time.Duration
}

// OK reports whether the request was admitted.
func (d Decision) OK() bool { return d.Reason == Allowed }

// BorrowerConfig configures a Borrower. The borrower calls the functions while
// it holds its lock: they must return quickly and must not call the borrower.
type BorrowerConfig struct {
	Settings Settings
	Self     Incarnation
	// Limits returns an account's limit, and false for an unknown account.
	Limits func(account string) (Limit, bool)
	// Owner returns the node that this node currently considers the account's
	// owner, or the empty NodeID if there is none.
	Owner func(account string) NodeID
}

// Borrower admits requests on one node, within the node's static shares and
// the amounts borrowed from lenders. It is safe for concurrent use.
type Borrower struct {
	cfg   BorrowerConfig
	start time.Time

	mu       sync.Mutex
	seq      uint64
	accounts map[string]*ledger
}

// NewBorrower returns a borrower with empty static shares, so that a restart
// cannot admit again what an earlier incarnation has used.
func NewBorrower(now time.Time, cfg BorrowerConfig) *Borrower {
	return &Borrower{cfg: cfg, start: now, accounts: map[string]*ledger{}}
}

// Accounts returns the number of accounts whose state is held in memory.
func (b *Borrower) Accounts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

// Allow decides whether to admit one request and charges an admitted one with
// tokens, the estimated token count. Each admitted request must be followed by
// exactly one call of Done.
func (b *Borrower) Allow(now time.Time, account string, tokens float64) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(now, account)
	if l == nil {
		return Decision{Reason: UnknownAccount}
	}
	return l.allow(now, Amount{Requests: 1, Tokens: tokens})
}

// Done ends an admitted request and corrects its charge. delta is the number of
// tokens used minus the number passed to Allow.
func (b *Borrower) Done(now time.Time, account string, delta float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(now, account)
	if l == nil {
		return
	}
	l.activeRuns = max(l.activeRuns-1, 0)
	l.applyCorrection(now, l.limit.limitedFields(Amount{Tokens: delta}))
}

// ledger returns the state of an account, creating it on first use. It returns
// nil for an unknown account.
func (b *Borrower) ledger(now time.Time, account string) *ledger {
	if l, ok := b.accounts[account]; ok {
		return l
	}
	limit, known := b.cfg.Limits(account)
	if !known {
		return nil
	}
	// An account without state has been idle: its static share has accrued
	// since the borrower started.
	l := &ledger{settings: b.cfg.Settings, staticAt: b.start, demandAt: now}
	l.setLimit(limit)
	b.accounts[account] = l
	return l
}

// Next returns the requests to send to lenders now, at most one for each
// lender. They name only accounts that need more than their static share, and
// accounts with corrections to report. Call Next about every Lease/10 and soon
// after Allow refused a request, but no more often than every few milliseconds,
// because it visits every account in use.
func (b *Borrower) Next(now time.Time) []LeaseCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	asks := map[NodeID][]Ask{}
	for account, l := range b.accounts {
		limit, known := b.cfg.Limits(account)
		if !known || l.evictable(now) {
			delete(b.accounts, account)
			continue
		}
		l.setLimit(limit)
		l.updateDemand(now)
		if !l.shouldRequest(now) {
			continue
		}
		owner := b.cfg.Owner(account)
		if owner == "" {
			continue
		}
		ask := l.buildAsk(now, b.seq)
		ask.Account = account
		asks[owner] = append(asks[owner], ask)
	}
	return b.calls(asks)
}

// calls builds one request for each owner, sorted by owner and account.
func (b *Borrower) calls(asks map[NodeID][]Ask) []LeaseCall {
	calls := make([]LeaseCall, 0, len(asks))
	for _, owner := range slices.Sorted(maps.Keys(asks)) {
		slices.SortFunc(asks[owner], func(x, y Ask) int { return strings.Compare(x.Account, y.Account) })
		req := LeaseRequest{From: b.cfg.Self, Seq: b.seq, Asks: asks[owner]}
		calls = append(calls, LeaseCall{To: owner, Request: req})
	}
	return calls
}

// Receive applies a lender's grant. A loan that does not answer the latest
// request for its account is ignored.
func (b *Borrower) Receive(now time.Time, grant LeaseGrant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range grant.Loans {
		loan := &grant.Loans[i]
		if l, ok := b.accounts[loan.Account]; ok && l.requestSeq == grant.Seq {
			l.applyLoan(now, loan)
		}
	}
}

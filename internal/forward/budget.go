package forward

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
)

const (
	// budgetShare is the part of the operators' retry budget that nodes use. The rest
	// allows for a retry that is counted in the window after its request's.
	budgetShare = 0.8
	// minNodes is the smallest number of nodes among which the fixed part of the budget is divided,
	// as some nodes may not be known yet.
	minNodes = 8
	// initialRetries is the initial balance of a new budget, so that a node's first requests can be
	// retried after a refusal. It is small because a node may restart within a window.
	initialRetries = 2
	// uncountedReserve is the maximum balance of a node that is possibly not counted by the others:
	// one retry, so that what its own requests earn can be used.
	uncountedReserve = 1
)

// Budgets limits the retries of this node, for each service.
//
// Guarantee: in any window, the retries of all nodes together are at most the operators' ratio of
// the requests plus their slack, provided that there are no more nodes than each node counts, or
// than minNodes. Nodes that are possibly not counted by the others add one retry each, which the
// part beyond budgetShare covers.
type Budgets struct {
	// Counted reports whether the other nodes count this node; nil means always. A node that is
	// possibly not counted has no share of the fixed part, since the others divide all of it.
	Counted func() bool
	// Clock times the deposits of the budgets. Nil means the monotonic clock.
	Clock *clock.Clock

	bounds bootstrap.Bounds
	nodes  func() int

	mu       sync.Mutex
	reserve  float64 // of the existing budgets
	services map[string]*Budget
}

// NewBudgets returns budgets with this node's share of the operators' bounds. nodes returns the
// current number of nodes.
func NewBudgets(b bootstrap.Bounds, nodes func() int) *Budgets {
	return &Budgets{bounds: b, nodes: nodes, services: make(map[string]*Budget)}
}

// ForService returns the budget of a service. When the number of nodes changes, the share of all
// budgets is adjusted; a balance above a smaller share is lost.
func (b *Budgets) ForService(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reserve := b.reserveShare(); reserve != b.reserve {
		b.reserve = reserve
		for _, budget := range b.services {
			budget.tokens.SetCapacity(reserve)
		}
	}
	budget, known := b.services[service]
	if !known {
		budget = b.newBudget()
		b.services[service] = budget
	}
	return budget
}

// reserveShare returns the maximum balance of this node's budget for a service, in retries.
func (b *Budgets) reserveShare() float64 {
	share := b.bounds.RetrySlack * budgetShare / float64(max(b.nodes(), minNodes))
	if b.Counted != nil && !b.Counted() {
		return min(share, uncountedReserve)
	}
	return share
}

func (b *Budgets) newBudget() *Budget {
	config := retry.BudgetConfig{Ratio: b.bounds.RetryRatio * budgetShare, Capacity: b.reserve}
	budget := &Budget{tokens: retry.NewBudget(b.Clock.Now(), config)}
	if config.Ratio <= 0 {
		return budget
	}
	for range int(initialRetries / config.Ratio) {
		budget.RecordRequest(b.Clock.Now())
	}
	return budget
}

// Budget is this node's retry budget for one service.
type Budget struct{ tokens *retry.Budget }

// RecordRequest records a request of a caller, which earns a fraction of a retry.
func (b *Budget) RecordRequest(now time.Time) { b.tokens.Deposit(now) }

// WithdrawRetry withdraws one retry. It reports false if the balance is too low.
func (b *Budget) WithdrawRetry(now time.Time) bool { return b.tokens.Withdraw(now) }

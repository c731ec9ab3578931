package forward

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
)

const (
	// budgetShare is the part of the operators' retry budget that nodes use; the
	// rest is for what is counted otherwise at the edges of a window.
	budgetShare = 0.8
	// fewestNodes divides the fixed part of the budget among at least so many
	// nodes, since some may not have been heard of.
	fewestNodes = 8
	// firstRepeats is what a new budget begins with, so that a node's first requests
	// survive a refusal. It is small, as a node may start again within a window.
	firstRepeats = 2
	// unheldReserve is what a node saves up that the others may not count: one repeat, so
	// that what its own requests earn can be used.
	unheldReserve = 1
)

// Budgets bounds how often this node sends requests again, service by service.
//
// Guarantee: in any window, the repeats of all nodes together are at most the
// operators' ratio of the requests plus their slack, as long as there are no more
// nodes than each has heard of, or fewestNodes. Nodes whose share others may have taken
// add one repeat each, for which the part beyond budgetShare has room.
type Budgets struct {
	// Held reports whether the other nodes count this one; nil means always. A node that
	// they may not count has no share of the fixed part, as others have it.
	Held func() bool
	// Clock dates what a budget earns. Nil is the steady clock.
	Clock *clock.Clock

	bounds bootstrap.Bounds
	nodes  func() int

	mu       sync.Mutex
	reserve  float64 // that the present budgets have
	services map[string]*Budget
}

// NewBudgets returns budgets within the operators' bounds, of which this node has
// its share. nodes returns the number of nodes.
func NewBudgets(b bootstrap.Bounds, nodes func() int) *Budgets {
	return &Budgets{bounds: b, nodes: nodes, services: make(map[string]*Budget)}
}

// Of returns the budget of a service. When the number of nodes changes, all budgets get
// another share; what they saved beyond a smaller one is lost.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reserve := b.share(); reserve != b.reserve {
		b.reserve = reserve
		for _, budget := range b.services {
			budget.tokens.SetReserve(reserve)
		}
	}
	budget, known := b.services[service]
	if !known {
		budget = b.newBudget()
		b.services[service] = budget
	}
	return budget
}

// share returns the repeats that this node may save up for a service.
func (b *Budgets) share() float64 {
	share := b.bounds.RetrySlack * budgetShare / float64(max(b.nodes(), fewestNodes))
	if b.Held != nil && !b.Held() {
		return min(share, unheldReserve)
	}
	return share
}

func (b *Budgets) newBudget() *Budget {
	config := retry.BudgetConfig{Ratio: b.bounds.RetryRatio * budgetShare, Reserve: b.reserve}
	budget := &Budget{tokens: retry.NewBudget(b.Clock.Now(), config)}
	if config.Ratio <= 0 {
		return budget
	}
	for range int(firstRepeats / config.Ratio) {
		budget.Request(b.Clock.Now())
	}
	return budget
}

// Budget is a node's share of one service's repeats.
type Budget struct{ tokens *retry.Budget }

// Request counts a request of a caller, which earns a part of a repeat.
func (b *Budget) Request(now time.Time) { b.tokens.Deposit(now) }

// Repeat takes one repeat, and reports false where there is none left.
func (b *Budget) Repeat(now time.Time) bool { return b.tokens.Withdraw(now) }

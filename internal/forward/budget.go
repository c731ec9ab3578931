package forward

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/bootstrap"
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
)

// Budgets bounds how often this node sends requests again, service by service.
//
// Guarantee: in any window, the repeats of all nodes together are at most the
// operators' ratio of the requests plus their slack, as long as there are no more
// nodes than this one has heard of, or fewestNodes.
type Budgets struct {
	bounds bootstrap.Bounds
	nodes  func() int

	mu       sync.Mutex
	shared   int // nodes that the present budgets are a share of
	services map[string]*Budget
}

// NewBudgets returns budgets within the operators' bounds, of which this node has
// its share. nodes returns the number of nodes.
func NewBudgets(b bootstrap.Bounds, nodes func() int) *Budgets {
	return &Budgets{bounds: b, nodes: nodes, services: make(map[string]*Budget)}
}

// Of returns the budget of a service. When more nodes are heard of, all budgets
// begin anew, empty, with a smaller share.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes := max(b.nodes(), fewestNodes); nodes > b.shared {
		b.shared = nodes
		clear(b.services)
	}
	budget, known := b.services[service]
	if !known {
		budget = b.newBudget()
		b.services[service] = budget
	}
	return budget
}

func (b *Budgets) newBudget() *Budget {
	config := retry.BudgetConfig{
		Ratio:   b.bounds.RetryRatio * budgetShare,
		Reserve: b.bounds.RetrySlack * budgetShare / float64(b.shared),
	}
	budget := &Budget{tokens: retry.NewBudget(time.Now(), config)}
	if config.Ratio <= 0 {
		return budget
	}
	for range int(firstRepeats / config.Ratio) {
		budget.Request(time.Now())
	}
	return budget
}

// Budget is a node's share of one service's repeats.
type Budget struct{ tokens *retry.Budget }

// Request counts a request of a caller, which earns a part of a repeat.
func (b *Budget) Request(now time.Time) { b.tokens.Deposit(now) }

// Repeat takes one repeat, and reports false where there is none left.
func (b *Budget) Repeat(now time.Time) bool { return b.tokens.Withdraw(now) }

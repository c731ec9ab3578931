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
	// assumedNodes divides the fixed part of the budget while a node doesn't know
	// how many there are.
	assumedNodes = 12
)

// Budgets bounds how often this node sends requests again, service by service.
//
// Guarantee: in any window, the repeats of all nodes together are at most the
// operators' ratio of the requests plus their slack, as long as there are no more
// nodes than Budgets is told.
type Budgets struct {
	config retry.BudgetConfig

	mu       sync.Mutex
	services map[string]*Budget
}

// NewBudgets returns budgets within the operators' bounds.
func NewBudgets(b bootstrap.Bounds) *Budgets {
	return &Budgets{
		config: retry.BudgetConfig{
			Ratio:   b.RetryRatio * budgetShare,
			Reserve: b.RetrySlack * budgetShare / assumedNodes,
		},
		services: make(map[string]*Budget),
	}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, known := b.services[service]
	if !known {
		budget = &Budget{tokens: retry.NewBudget(time.Now(), b.config)}
		b.services[service] = budget
	}
	return budget
}

// Budget is a node's share of one service's repeats.
type Budget struct{ tokens *retry.Budget }

// Request counts a request of a caller, which earns a part of a repeat.
func (b *Budget) Request(now time.Time) { b.tokens.Deposit(now) }

// Repeat takes one repeat, and reports false where there is none left.
func (b *Budget) Repeat(now time.Time) bool { return b.tokens.Withdraw(now) }

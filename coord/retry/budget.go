package retry

import (
	"sync"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each successful first attempt adds.
	Ratio float64
	// Capacity is the capacity of the bucket in retries.
	Capacity float64
	// AddedPerSecond is the number of retries added per second regardless of traffic, so that
	// calls to a rarely used target can occasionally be retried.
	AddedPerSecond float64
}

// DefaultBudget limits the load amplification to less than 1.1 in the long run if AddedPerSecond
// is small compared with the rate of calls.
var DefaultBudget = BudgetConfig{Ratio: 0.1, Capacity: 10, AddedPerSecond: 0.1}

// Budget is a token bucket of retries that is filled by successful first attempts and with
// time. It starts empty, so that a process that restarts while endpoints fail does not add a
// burst of retries. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	cfg        BudgetConfig
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns an empty budget.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, lastRefill: now}
}

// Deposit adds Ratio retries for a first attempt that succeeded, up to the capacity.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Capacity)
}

// Withdraw takes one retry. It returns false and takes nothing if less than one is available.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetCapacity changes the capacity of the bucket. Retries beyond a lower capacity are discarded;
// a higher capacity adds none.
func (b *Budget) SetCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// refill adds the retries for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill).Seconds()
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.tokens = min(b.tokens+elapsed*b.cfg.AddedPerSecond, b.cfg.Capacity)
}

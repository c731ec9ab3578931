package retry

import (
	"sync"
	"time"
)

// BudgetConfig sizes a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each successful first attempt earns.
	Ratio float64
	// Reserve is the most retries that can be saved up.
	Reserve float64
	// MinPerSecond is earned without traffic, so that a rarely used target
	// still gets a retry now and then.
	MinPerSecond float64
}

// DefaultBudget keeps the load amplification under 1.1.
var DefaultBudget = BudgetConfig{Ratio: 0.1, Reserve: 10, MinPerSecond: 0.1}

// Budget is a token bucket of retries, filled by successes. It starts empty: a
// process that restarts during a brownout adds no burst. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	cfg   BudgetConfig
	level float64
	last  time.Time
}

// NewBudget returns an empty budget.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, last: now}
}

// Deposit counts a first attempt that succeeded.
func (b *Budget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = min(b.level+b.cfg.Ratio, b.cfg.Reserve)
}

// Withdraw takes one retry. It reports false, and takes nothing, if there is
// none.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// SetReserve changes the most retries that can be saved up. What was saved beyond it is
// lost, and nothing is given for a larger one.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Reserve = reserve
	b.level = min(b.level, reserve)
}

// refill adds what time has earned.
func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.last).Seconds()
	if passed <= 0 {
		return
	}
	b.last = now
	b.level = min(b.level+passed*b.cfg.MinPerSecond, b.cfg.Reserve)
}

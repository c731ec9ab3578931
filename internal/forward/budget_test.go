package forward_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/forward"
)

// TestBudgetsOfAllNodes stay within the operators' bound together, whatever a window
// begins with.
func TestBudgetsOfAllNodes(t *testing.T) {
	const (
		nodes    = 20
		requests = 100 // of each node in the window
	)
	bounds := bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second}
	now := time.Now()
	repeats := 0
	for range nodes {
		budget := forward.NewBudgets(bounds, func() int { return nodes }).Of("s")
		for range 10 * requests { // before the window: the reserve fills
			budget.Request(now)
		}
		for range requests {
			budget.Request(now)
			for budget.Repeat(now) {
				repeats++
			}
		}
	}
	test.LessEq(t, bounds.RetryRatio*nodes*requests+bounds.RetrySlack, float64(repeats))
	test.Greater(t, 0, repeats)
}

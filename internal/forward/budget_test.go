package forward_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/forward"
)

// TestBudgetsOfAllNodes checks that the retries of all nodes together stay within the operators'
// bound, also when every budget is full at the start of the window.
func TestBudgetsOfAllNodes(t *testing.T) {
	const (
		nodes    = 20
		requests = 100 // of each node in the window
	)
	bounds := bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 52, RetryWindow: 10 * time.Second}
	now := time.Now()
	retries := 0
	for range nodes {
		budget := forward.NewBudgets(bounds, func() int { return nodes }).ForService("s")
		for range 10 * requests { // before the window: fill the reserve
			budget.RecordRequest(now)
		}
		for range requests {
			budget.RecordRequest(now)
			for budget.WithdrawRetry(now) {
				retries++
			}
		}
	}
	test.LessEq(t, bounds.RetryRatio*nodes*requests+bounds.RetrySlack, float64(retries))
	test.Greater(t, 0, retries)
}

// retriesAfterRequest records one request and returns the number of retries that the budget then
// allows.
func retriesAfterRequest(budget *forward.Budget, now time.Time) int {
	retries := 0
	budget.RecordRequest(now)
	for budget.WithdrawRetry(now) {
		retries++
	}
	return retries
}

// fill records enough requests to reach the maximum balance.
func fill(budget *forward.Budget, now time.Time) {
	for range 1000 {
		budget.RecordRequest(now)
	}
}

// TestShareDependsOnNodes checks that a node's share grows when there are fewer nodes, without
// granting retries that it has not earned, and shrinks at once when there are more.
func TestShareDependsOnNodes(t *testing.T) {
	nodes := 40
	now := time.Now()
	budgets := forward.NewBudgets(bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 100}, func() int { return nodes })
	fill(budgets.ForService("s"), now)
	test.Eq(t, 2, retriesAfterRequest(budgets.ForService("s"), now))
	nodes = 20
	test.Eq(t, 0, retriesAfterRequest(budgets.ForService("s"), now), test.Sprint("a larger share grants no retries by itself"))
	fill(budgets.ForService("s"), now)
	test.Eq(t, 4, retriesAfterRequest(budgets.ForService("s"), now))
	fill(budgets.ForService("s"), now)
	nodes = 40
	test.Eq(t, 2, retriesAfterRequest(budgets.ForService("s"), now))
}

// TestBudgetsOfReplacedNodes checks that all nodes together stay within the operators' bound while
// ten are replaced one after the other in a window. Each replaced node is still counted for some
// time after its successor has joined.
func TestBudgetsOfReplacedNodes(t *testing.T) {
	const (
		nodes, replaced = 82, 10
		requests        = 2 // of each node between two replacements
	)
	bounds := bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 204}
	now := time.Now()
	counted := nodes
	var all []*forward.Budgets
	join := func() {
		all = append(all, forward.NewBudgets(bounds, func() int { return counted }))
	}
	for range nodes {
		join()
		fill(all[len(all)-1].ForService("s"), now)
	}
	retries, sent := 0, 0
	for range replaced {
		counted++
		all = all[1:]
		join()
		for _, budgets := range all {
			for range requests {
				retries += retriesAfterRequest(budgets.ForService("s"), now)
				sent++
			}
		}
	}
	test.LessEq(t, bounds.RetryRatio*float64(sent)+bounds.RetrySlack, float64(retries))
}

// TestUncountedNodeSavesOneRetry checks that a node that is possibly not counted by the others can
// save up only one retry, earned by its own requests.
func TestUncountedNodeSavesOneRetry(t *testing.T) {
	counted := true
	now := time.Now()
	budgets := forward.NewBudgets(bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 100}, func() int { return 8 })
	budgets.Counted = func() bool { return counted }
	fill(budgets.ForService("s"), now)
	counted = false
	test.Eq(t, 1, retriesAfterRequest(budgets.ForService("s"), now))
	retries := 0
	for range 50 {
		retries += retriesAfterRequest(budgets.ForService("s"), now)
	}
	test.Eq(t, 7, retries, test.Sprint("one in seven: the balance beyond one retry is lost"))
	counted = true
	fill(budgets.ForService("s"), now)
	test.Eq(t, 10, retriesAfterRequest(budgets.ForService("s"), now))
}

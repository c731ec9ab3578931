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

// repeatsOf returns how many repeats a budget gives for one request.
func repeatsOf(budget *forward.Budget, now time.Time) int {
	repeats := 0
	budget.Request(now)
	for budget.Repeat(now) {
		repeats++
	}
	return repeats
}

// fill has requests earn as many repeats as a budget can save up.
func fill(budget *forward.Budget, now time.Time) {
	for range 1000 {
		budget.Request(now)
	}
}

// TestShareFollowsNodes gives a node a larger share once there are fewer, without repeats
// that it has not earned, and a smaller one at once when there are more.
func TestShareFollowsNodes(t *testing.T) {
	nodes := 40
	now := time.Now()
	budgets := forward.NewBudgets(bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 100}, func() int { return nodes })
	fill(budgets.Of("s"), now)
	test.Eq(t, 2, repeatsOf(budgets.Of("s"), now))
	nodes = 20
	test.Eq(t, 0, repeatsOf(budgets.Of("s"), now), test.Sprint("nothing is given"))
	fill(budgets.Of("s"), now)
	test.Eq(t, 4, repeatsOf(budgets.Of("s"), now))
	fill(budgets.Of("s"), now)
	nodes = 40
	test.Eq(t, 2, repeatsOf(budgets.Of("s"), now))
}

// TestBudgetsOfReplacedNodes keeps all nodes within the operators' bound together while ten
// are replaced one after the other in a window, each counted until some time after its
// successor came.
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
		fill(all[len(all)-1].Of("s"), now)
	}
	repeats, sent := 0, 0
	for range replaced {
		counted++
		all = all[1:]
		join()
		for _, budgets := range all {
			for range requests {
				repeats += repeatsOf(budgets.Of("s"), now)
				sent++
			}
		}
	}
	test.LessEq(t, bounds.RetryRatio*float64(sent)+bounds.RetrySlack, float64(repeats))
}

// TestUncountedNodeKeepsNoShare leaves a node that others may not count one repeat, and what
// its requests earn.
func TestUncountedNodeKeepsNoShare(t *testing.T) {
	held := true
	now := time.Now()
	budgets := forward.NewBudgets(bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 100}, func() int { return 8 })
	budgets.Held = func() bool { return held }
	fill(budgets.Of("s"), now)
	held = false
	test.Eq(t, 1, repeatsOf(budgets.Of("s"), now))
	repeats := 0
	for range 50 {
		repeats += repeatsOf(budgets.Of("s"), now)
	}
	test.Eq(t, 7, repeats, test.Sprint("one in seven: what is beyond one repeat is lost"))
	held = true
	fill(budgets.Of("s"), now)
	test.Eq(t, 10, repeatsOf(budgets.Of("s"), now))
}

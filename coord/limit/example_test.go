package limit_test

import (
	"fmt"
	"time"

	"github.com/cherryward/cherryward/coord/limit"
)

// Example connects the keeper, lender and borrower of one node by direct calls.
// Between nodes, the application sends the calls over its own transport.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settings := limit.DefaultSettings(1)
	self := limit.Incarnation{Node: "node-1", Number: 7}
	limits := func(string) (limit.Limit, bool) { return limit.Limit{Requests: 10, Runs: 2}, true }
	owner := func(string) limit.NodeID { return self.Node }
	keepers := func(string) []limit.NodeID { return []limit.NodeID{self.Node} }

	keeper := limit.NewKeeper(now, settings, self.Node, keepers)
	lender := limit.NewLender(limit.LenderConfig{
		Settings: settings, Self: self, Limits: limits, Owner: owner, Keepers: keepers,
	})
	borrower := limit.NewBorrower(now, limit.BorrowerConfig{
		Settings: settings, Self: self, Limits: limits, Owner: owner,
	})

	now = now.Add(time.Minute) // a keeper grants nothing in the first part lease after its start
	for range 4 {
		decision := borrower.Allow(now, "foundry", 0)
		fmt.Println(decision.OK(), decision.RetryAfter)
		if decision.OK() {
			borrower.Done(now, "foundry", 0)
		}
		for _, call := range borrower.Next(now) {
			borrower.Receive(now, lender.Handle(now, call.Request))
		}
		for _, call := range lender.Next(now) {
			lender.Receive(now, keeper.Handle(now, call.Request))
		}
		now = now.Add(time.Second)
	}
	// Output:
	// false 50ms
	// false 50ms
	// true 0s
	// true 0s
}

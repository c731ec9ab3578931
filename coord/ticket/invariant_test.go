package ticket_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// TestInvariantsHold runs random events (restarts, handovers, lost and delayed
// messages) and checks that no ticket runs twice or after not_run.
func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(20, 200).Draw(rt, "steps")
		var c *cluster
		synctest.Test(t, func(*testing.T) { c = simulate(faultNone, seed, steps) })
		if len(c.violations) > 0 {
			rt.Fatalf("%v", c.violations)
		}
	})
}

// TestInvariantsDetectFaults checks that the invariant checks detect each
// injected fault, and report nothing without a fault.
func TestInvariantsDetectFaults(t *testing.T) {
	for _, injectedFault := range []fault{faultNone, faultReuseIncarnation, faultRetryElsewhere, faultReaddressHandover} {
		detected, tickets := 0, 0
		for seed := range uint64(200) {
			synctest.Test(t, func(*testing.T) {
				c := simulate(injectedFault, seed, 80)
				detected += min(1, len(c.violations))
				tickets += len(c.tickets)
			})
		}
		t.Logf("fault %d: detected in %d of 200 runs, %d tickets", injectedFault, detected, tickets)
		test.Eq(t, injectedFault != faultNone, detected > 0)
	}
}

func simulate(injectedFault fault, seed uint64, steps int) *cluster {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(injectedFault, random.IntN)
	for range steps {
		c.step()
	}
	c.waitForCalls()
	return c
}

package weights

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestRollout checks that one claim holder updates nine engines within the operators' time limit, two
// at a time.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		stops := []func(){sim.startNode(t, "n1"), sim.startNode(t, "n2"), sim.startNode(t, "n3")}
		time.Sleep(time.Second)
		sim.requestVersion(2)
		time.Sleep(11 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, 9), sim.versions())
		test.Eq(t, minConcurrentLoads, sim.engines.maxLoading)
		holders := map[string]bool{}
		for _, order := range sim.orders() {
			holders[order.Holder] = true
		}
		test.MapLen(t, 1, holders)
		test.Len(t, 9, sim.orders())
		for _, stop := range stops {
			stop()
		}
	})
}

// TestNewerVersion requests another version during an update. Engines not yet updated must load the
// latest version directly.
func TestNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		stop := sim.startNode(t, "n1")
		sim.requestVersion(2)
		time.Sleep(4 * time.Second)
		sim.requestVersion(3)
		time.Sleep(14 * time.Second)
		test.Eq(t, slices.Repeat([]int64{3}, 9), sim.versions())
		for _, order := range sim.orders() {
			if order.Version == 2 {
				test.Less(t, 5*time.Second, order.at.Sub(sim.orders()[0].at))
			}
		}
		stop()
	})
}

// TestHolderStops checks that a second node takes over with a higher token and sends its first order
// no earlier than the lease after the last order of the first node.
func TestHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		sim.requestVersion(2)
		stopFirst := sim.startNode(t, "n1")
		time.Sleep(3 * time.Second)
		go stopFirst()
		stopSecond := sim.startNode(t, "n2")
		time.Sleep(25 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, 9), sim.versions())
		var last, first receivedOrder
		for _, order := range sim.orders() {
			if order.Holder == "n1" {
				last = order
			} else if first.Holder == "" {
				first = order
			}
		}
		must.NotEq(t, "", first.Holder)
		test.GreaterEq(t, lease, first.at.Sub(last.at))
		test.Greater(t, last.Token, first.Token)
		stopSecond()
	})
}

// TestStoreUnavailable checks that no orders are sent after the claim can no longer be renewed.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		sim.requestVersion(2)
		stop := sim.startNode(t, "n1")
		time.Sleep(2 * time.Second)
		sim.log.mu.Lock()
		sim.log.down = true
		sim.log.mu.Unlock()
		lost := time.Now()
		time.Sleep(20 * time.Second)
		for _, order := range sim.orders() {
			test.Less(t, claimTTL, order.at.Sub(lost))
		}
		stop()
	})
}

// TestLostResponse checks that an executed order is not repeated when its response is lost.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation("a")
		sim.engines.loseResponses = 1
		sim.requestVersion(2)
		stop := sim.startNode(t, "n1")
		time.Sleep(8 * time.Second)
		test.Eq(t, []int64{2}, sim.versions())
		test.Len(t, 1, sim.orders())
		stop()
	})
}

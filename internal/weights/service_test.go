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
		w := newSimulation(nineEngines()...)
		stops := []func(){w.startNode(t, "n1"), w.startNode(t, "n2"), w.startNode(t, "n3")}
		time.Sleep(time.Second)
		w.requestVersion(2)
		time.Sleep(11 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, 9), w.versions())
		test.Eq(t, minConcurrentLoads, w.engines.maxLoading)
		holders := map[string]bool{}
		for _, g := range w.orders() {
			holders[g.Holder] = true
		}
		test.MapLen(t, 1, holders)
		test.Len(t, 9, w.orders())
		for _, stop := range stops {
			stop()
		}
	})
}

// TestNewerVersion requests another version during an update. Engines not yet updated must load the
// latest version directly.
func TestNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(nineEngines()...)
		stop := w.startNode(t, "n1")
		w.requestVersion(2)
		time.Sleep(4 * time.Second)
		w.requestVersion(3)
		time.Sleep(14 * time.Second)
		test.Eq(t, slices.Repeat([]int64{3}, 9), w.versions())
		for _, g := range w.orders() {
			if g.Version == 2 {
				test.Less(t, 5*time.Second, g.at.Sub(w.orders()[0].at))
			}
		}
		stop()
	})
}

// TestHolderStops checks that a second node takes over with a higher token, not earlier than the lease
// after the last order.
func TestHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(nineEngines()...)
		w.requestVersion(2)
		stopFirst := w.startNode(t, "n1")
		time.Sleep(3 * time.Second)
		go stopFirst()
		stopSecond := w.startNode(t, "n2")
		time.Sleep(25 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, 9), w.versions())
		var last, first receivedOrder
		for _, g := range w.orders() {
			if g.Holder == "n1" {
				last = g
			} else if first.Holder == "" {
				first = g
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
		w := newSimulation(nineEngines()...)
		w.requestVersion(2)
		stop := w.startNode(t, "n1")
		time.Sleep(2 * time.Second)
		w.log.mu.Lock()
		w.log.down = true
		w.log.mu.Unlock()
		lost := time.Now()
		time.Sleep(20 * time.Second)
		for _, g := range w.orders() {
			test.Less(t, claimTTL, g.at.Sub(lost))
		}
		stop()
	})
}

// TestLostResponse checks that an executed order is not repeated when its response is lost.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation("a")
		w.engines.loseResponses = 1
		w.requestVersion(2)
		stop := w.startNode(t, "n1")
		time.Sleep(8 * time.Second)
		test.Eq(t, []int64{2}, w.versions())
		test.Len(t, 1, w.orders())
		stop()
	})
}

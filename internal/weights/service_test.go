package weights

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestRollout brings nine engines to a version within the operators' bound, two
// loads at a time, by one holder.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		stops := []func(){w.node(t, "n1"), w.node(t, "n2"), w.node(t, "n3")}
		time.Sleep(time.Second)
		w.name(2)
		time.Sleep(11 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, 9), w.versions())
		test.Eq(t, fewestLoads, w.engines.loading)
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

// TestNewerVersion goes straight to the newest version.
func TestNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		stop := w.node(t, "n1")
		w.name(2)
		time.Sleep(4 * time.Second)
		w.name(3)
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

// TestHolderStops has a second node take over, no sooner than the lease bound after
// the last order, with a higher token.
func TestHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		w.name(2)
		stopFirst := w.node(t, "n1")
		time.Sleep(3 * time.Second)
		go stopFirst()
		stopSecond := w.node(t, "n2")
		time.Sleep(25 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, 9), w.versions())
		var last, first given
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

// TestStoreAway gives no orders once the claim can't be renewed.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		w.name(2)
		stop := w.node(t, "n1")
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

// TestLostAnswer does not give an order twice that was carried out.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a")
		w.engines.lose = 1
		w.name(2)
		stop := w.node(t, "n1")
		time.Sleep(8 * time.Second)
		test.Eq(t, []int64{2}, w.versions())
		test.Len(t, 1, w.orders())
		stop()
	})
}

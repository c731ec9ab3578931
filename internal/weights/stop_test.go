package weights

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestStoppingHolderReleasesClaim stops a claim holder during an update and starts a new node 4 s later.
// The new node must continue immediately, but not send an order within the lease after the last order
// of the first node. Without the release it would wait for 5.3 s.
func TestStoppingHolderReleasesClaim(t *testing.T) {
	for _, lost := range []int{0, 40} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(nineEngines()...)
			sim.engines.loseResponses = lost
			stop := sim.startNode(t, "n1")
			sim.requestVersion(2)
			for len(sim.orders()) < 3 {
				time.Sleep(10 * time.Millisecond)
			}
			stopped := make(chan struct{})
			go func() {
				stop()
				close(stopped)
			}()
			time.Sleep(4 * time.Second)
			started := time.Now()
			before := sim.orders()
			stopNext := sim.startNode(t, "n2")
			for len(sim.orders()) == len(before) && time.Since(started) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			after := sim.orders()
			must.Greater(t, len(before), len(after))
			first, last := after[len(before)], before[len(before)-1]
			test.Eq(t, "n1", last.Holder)
			test.Eq(t, "n2", first.Holder)
			test.Less(t, 2*time.Second, first.at.Sub(started), test.Sprint(lost, " responses lost"))
			test.GreaterEq(t, lease, first.at.Sub(last.at))
			test.Greater(t, last.Token, first.Token)
			time.Sleep(20 * time.Second)
			for _, version := range sim.versions() {
				test.Eq(t, 2, version)
			}
			stopNext()
			<-stopped
		})
	}
}

// TestIdleHolderStopsImmediately checks that a node whose last order is older than the lease stops
// without waiting.
func TestIdleHolderStopsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation("a")
		stop := sim.startNode(t, "n1")
		sim.requestVersion(2)
		time.Sleep(10 * time.Second)
		must.Eq(t, []int64{2}, sim.versions())
		started := time.Now()
		stop()
		test.Eq(t, 2*maxClaimTTL, time.Since(started), test.Sprint("the wait of the test's stop function"))
	})
}

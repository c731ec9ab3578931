package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
)

// TestSuspendedHolder suspends the host of the claim holder during an update. If the suspension is longer
// than the claim, another node may have acquired it, so the holder must not send orders under the old
// claim. A shorter suspension must not cause a delay.
func TestSuspendedHolder(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(nineEngines()...)
			host := clocktest.New()
			sim.clock = host.Clock
			stop := sim.startNode(t, "n1")
			sim.requestVersion(2)
			for len(sim.orders()) < 3 {
				time.Sleep(10 * time.Millisecond)
			}
			before := sim.orders()
			host.Suspend(d)
			time.Sleep(40 * time.Second)
			after := sim.orders()
			must.Greater(t, len(before), len(after))
			last, next := before[len(before)-1], after[len(before)]
			if d >= claimTTL {
				test.Greater(t, last.Token, next.Token, test.Sprint(d))
			} else {
				// A renewal also increases the token; there was no wait for a claim.
				test.Less(t, lease, next.at.Sub(last.at), test.Sprint(d))
			}
			for _, version := range sim.versions() {
				test.Eq(t, 2, version)
			}
			stop()
		})
	}
}

// TestSuspendedBetweenTwoOrders checks that no order is possible under a claim that expired during a
// suspension of the host.
func TestSuspendedBetweenTwoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation("a")
		host := clocktest.New()
		s, err := New(Config{Node: "n1", Claims: sim.log, Lease: lease, Clock: host.Clock})
		must.NoError(t, err)
		held, err := s.claimer.Acquire(t.Context(), resource, claimTTL)
		must.NoError(t, err)
		_, cancel, err := held.Order(context.Background())
		must.NoError(t, err)
		cancel()
		host.Suspend(claimTTL)
		_, _, err = held.Order(context.Background())
		test.Error(t, err)
		time.Sleep(2 * maxClaimTTL) // until the claim's goroutine has ended
	})
}

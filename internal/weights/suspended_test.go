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

// TestSuspendedHolder: the host of the holder of orders is suspended in the midst of them. Where that
// takes longer than its claim, another node may hold one by then: the holder gives no further order
// under the claim of before. A shorter suspension costs nothing.
func TestSuspendedHolder(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(nine()...)
			host := clocktest.New()
			w.clock = host.Clock
			stop := w.node(t, "n1")
			w.name(2)
			for len(w.orders()) < 3 {
				time.Sleep(10 * time.Millisecond)
			}
			before := w.orders()
			host.Suspend(d)
			time.Sleep(40 * time.Second)
			after := w.orders()
			must.Greater(t, len(before), len(after))
			last, next := before[len(before)-1], after[len(before)]
			if d >= claimTTL {
				test.Greater(t, last.Token, next.Token, test.Sprint(d))
			} else {
				// A renewal in between raises the token as well; no claim was waited for.
				test.Less(t, lease, next.at.Sub(last.at), test.Sprint(d))
			}
			for _, version := range w.versions() {
				test.Eq(t, 2, version)
			}
			stop()
		})
	}
}

// TestSuspendedBetweenTwoOrders: a claim that ended during the suspension is good for no order at all.
func TestSuspendedBetweenTwoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a")
		host := clocktest.New()
		s, err := New(Config{Node: "n1", Claims: w.log, Lease: lease, Clock: host.Clock})
		must.NoError(t, err)
		held, err := s.claimer.Acquire(t.Context(), resource, claimTTL)
		must.NoError(t, err)
		_, cancel, err := held.Order(context.Background())
		must.NoError(t, err)
		cancel()
		host.Suspend(claimTTL)
		_, _, err = held.Order(context.Background())
		test.Error(t, err)
		time.Sleep(2 * maxClaimTTL) // the claim's own watch ends
	})
}

package weights

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestStoppingHolderGivesTheClaimBack stops a holder in the midst of its orders and starts another node
// 4 s later, which has read nothing of the log before. It goes on at once, and no order of it comes
// within the lease bound after one of the node before. Before, it waited for 5.3 s.
func TestStoppingHolderGivesTheClaimBack(t *testing.T) {
	for _, lost := range []int{0, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(nine()...)
			w.engines.lose = lost
			stop := w.node(t, "n1")
			w.name(2)
			for len(w.orders()) < 3 {
				time.Sleep(10 * time.Millisecond)
			}
			stopped := make(chan struct{})
			go func() {
				stop()
				close(stopped)
			}()
			time.Sleep(4 * time.Second)
			begun := time.Now()
			before := w.orders()
			stopNext := w.node(t, "n2")
			for len(w.orders()) == len(before) && time.Since(begun) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			after := w.orders()
			must.Greater(t, len(before), len(after))
			first, last := after[len(before)], before[len(before)-1]
			test.Eq(t, "n1", last.Holder)
			test.Eq(t, "n2", first.Holder)
			test.Less(t, 2*time.Second, first.at.Sub(begun), test.Sprint(lost, " answers lost"))
			test.GreaterEq(t, lease, first.at.Sub(last.at))
			test.Greater(t, last.Token, first.Token)
			time.Sleep(20 * time.Second)
			for _, version := range w.versions() {
				test.Eq(t, 2, version)
			}
			stopNext()
			<-stopped
		})
	}
}

// TestIdleHolderStopsAtOnce has a holder that gave its last order long ago stop without a wait, and
// one without any.
func TestIdleHolderStopsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a")
		stop := w.node(t, "n1")
		w.name(2)
		time.Sleep(10 * time.Second)
		must.Eq(t, []int64{2}, w.versions())
		begun := time.Now()
		stop()
		test.Eq(t, 2*maxClaimTTL, time.Since(begun), test.Sprint("what stop itself waits"))
	})
}

package weights

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// restart starts an engine anew under its id: an order under way is lost, and orders are counted
// from 0.
func (e *engines) restart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle(id)
	e.startedMs[id]++
	delete(e.next, id)
	e.orders[id] = 0
}

// release carries out the orders that are on their way, and returns what came of them.
func (e *engines) release() []Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	var replies []Reply
	for _, g := range e.held {
		reply, err := e.take(&fleet.Endpoint{ID: g.endpoint}, g.Order)
		if err == nil {
			replies = append(replies, reply)
		}
	}
	e.held = nil
	return replies
}

func fleetOf(w *world) *fleet.Fleet {
	f := fleet.New(zerolog.Nop())
	w.beat(f)
	return f
}

// TestRestartWhileLoading orders an engine again that started anew while it loaded, as soon as
// the registry tells: the order before was to another start, and is waited for no longer.
func TestRestartWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a")
		w.name(2)
		stop := w.node(t, "n1")
		time.Sleep(8 * time.Second)
		must.Eq(t, []int64{2}, w.versions())
		w.name(3)
		for len(w.orders()) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		w.engines.restart("a")
		restarted := time.Now()
		time.Sleep(8 * time.Second)
		test.Eq(t, []int64{3}, w.versions())
		orders := w.orders()
		must.Len(t, 3, orders)
		test.Eq(t, 0, orders[2].Expected)
		test.Less(t, time.Second+emptyTime+3*tick, orders[2].at.Sub(restarted))
		stop()
	})
}

// TestOrderCarriedOutLate has an order reach the next start of an engine, which counts orders
// from 0 again and goes back to older weights: it is ordered to the newest ones once more.
func TestOrderCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.engines.hold = 1
		w.name(2)
		stop := w.node(t, "n1")
		for len(w.orders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		w.name(3)
		time.Sleep(12 * time.Second)
		must.Eq(t, []int64{3, 3}, w.versions())

		id := w.engines.held[0].endpoint
		w.engines.restart(id)
		time.Sleep(2 * time.Second)
		must.Eq(t, []Reply{Taken}, w.engines.release())
		time.Sleep(loadTime + time.Millisecond)
		must.SliceContains(t, w.versions(), 2)
		time.Sleep(12 * time.Second)
		test.Eq(t, []int64{3, 3}, w.versions())
		stop()
	})
}

// TestJobOfAStart drops the job of an engine that started anew.
func TestJobOfAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Service{jobs: map[string]*job{"a": {model: model, version: 2, startedMs: 1, begun: time.Now(), ordered: time.Now()}}}
		w := newWorld("a")
		w.engines.restart("a")
		f := fleetOf(w)
		test.SliceEmpty(t, s.due(f.All()))
		test.MapEmpty(t, s.jobs)
		s.begin(Behind(f.All(), model, 2), model, 2, 1)
		test.Eq(t, 2, s.jobs["a"].startedMs)
		test.Len(t, 1, s.due(f.All()))
	})
}

// TestReportOfAnotherStart counts for no job: the start that it is of isn't known yet, or gone.
func TestReportOfAnotherStart(t *testing.T) {
	j := &job{startedMs: 2}
	var told []int64
	for _, startedMs := range []int64{0, 1, 2, 3} {
		if j.concerns(&Report{StartedMs: startedMs}) {
			told = append(told, startedMs)
		}
	}
	test.True(t, slices.Equal([]int64{0, 2}, told))
}

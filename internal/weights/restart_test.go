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

// restart restarts an engine under the same id. Its current load is lost and it counts orders from 0.
func (e *engines) restart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoad(id)
	e.startedMs[id]++
	delete(e.next, id)
	e.orders[id] = 0
}

// deliverDelayed delivers the delayed orders and returns the replies.
func (e *engines) deliverDelayed() []Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	var replies []Reply
	for _, g := range e.delayed {
		reply, err := e.accept(&fleet.Endpoint{ID: g.endpoint}, g.Order)
		if err == nil {
			replies = append(replies, reply)
		}
	}
	e.delayed = nil
	return replies
}

func fleetOf(w *simulation) *fleet.Fleet {
	f := fleet.New(zerolog.Nop())
	w.heartbeat(f)
	return f
}

// TestRestartWhileLoading checks that an engine that restarts while loading is ordered again as soon as
// the registry shows the restart, without waiting for the order sent to the previous start.
func TestRestartWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation("a")
		w.requestVersion(2)
		stop := w.startNode(t, "n1")
		time.Sleep(8 * time.Second)
		must.Eq(t, []int64{2}, w.versions())
		w.requestVersion(3)
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
		test.Less(t, time.Second+drainTime+3*stepInterval, orders[2].at.Sub(restarted))
		stop()
	})
}

// TestOrderCarriedOutLate delivers a delayed order after a restart of the engine. The engine counts
// orders from 0 again, so it accepts the order and returns to older weights. It must then be ordered to
// load the latest version again.
func TestOrderCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation("a", "b")
		w.engines.delayOrders = 1
		w.requestVersion(2)
		stop := w.startNode(t, "n1")
		for len(w.orders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		w.requestVersion(3)
		time.Sleep(12 * time.Second)
		must.Eq(t, []int64{3, 3}, w.versions())

		id := w.engines.delayed[0].endpoint
		w.engines.restart(id)
		time.Sleep(2 * time.Second)
		must.Eq(t, []Reply{Taken}, w.engines.deliverDelayed())
		time.Sleep(loadTime + time.Millisecond)
		must.SliceContains(t, w.versions(), 2)
		time.Sleep(12 * time.Second)
		test.Eq(t, []int64{3, 3}, w.versions())
		stop()
	})
}

// TestJobOfRestartedEngine checks that the job of a restarted engine is deleted.
func TestJobOfRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Service{jobs: map[string]*job{"a": {model: model, version: 2, startedMs: 1, startedAt: time.Now(), orderedAt: time.Now()}}}
		w := newSimulation("a")
		w.engines.restart("a")
		f := fleetOf(w)
		test.SliceEmpty(t, s.nextChecks(f.All()))
		test.MapEmpty(t, s.jobs)
		s.startJobs(Outdated(f.All(), model, 2), model, 2, 1)
		test.Eq(t, 2, s.jobs["a"].startedMs)
		test.Len(t, 1, s.nextChecks(f.All()))
	})
}

// TestReportOfAnotherStart checks that a report from another start of the engine, newer or older, does
// not affect a job.
func TestReportOfAnotherStart(t *testing.T) {
	j := &job{startedMs: 2}
	var matching []int64
	for _, startedMs := range []int64{0, 1, 2, 3} {
		if j.matchesStart(&Report{StartedMs: startedMs}) {
			matching = append(matching, startedMs)
		}
	}
	test.True(t, slices.Equal([]int64{0, 2}, matching))
}

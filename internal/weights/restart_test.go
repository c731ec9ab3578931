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
	for _, order := range e.delayed {
		reply, err := e.accept(&fleet.Endpoint{ID: order.endpoint}, order.Order)
		if err == nil {
			replies = append(replies, reply)
		}
	}
	e.delayed = nil
	return replies
}

func fleetOf(sim *simulation) *fleet.Fleet {
	f := fleet.New(zerolog.Nop())
	sim.heartbeat(f)
	return f
}

// TestRestartWhileLoading checks that an engine that restarts while loading gets a new order as soon as
// the registry shows the restart, without waiting for the order sent to the previous process.
func TestRestartWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation("a")
		sim.requestVersion(2)
		stop := sim.startNode(t, "n1")
		time.Sleep(8 * time.Second)
		must.Eq(t, []int64{2}, sim.versions())
		sim.requestVersion(3)
		for len(sim.orders()) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		sim.engines.restart("a")
		restarted := time.Now()
		time.Sleep(8 * time.Second)
		test.Eq(t, []int64{3}, sim.versions())
		orders := sim.orders()
		must.Len(t, 3, orders)
		test.Eq(t, 0, orders[2].Expected)
		test.Less(t, time.Second+drainTime+3*stepInterval, orders[2].at.Sub(restarted))
		stop()
	})
}

// TestDelayedOrderAfterRestart delivers a delayed order after a restart of the engine. The engine counts
// orders from 0 again, so it accepts the order and returns to older weights. It must then
// get an order to load the latest version again.
func TestDelayedOrderAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation("a", "b")
		sim.engines.delayOrders = 1
		sim.requestVersion(2)
		stop := sim.startNode(t, "n1")
		for len(sim.orders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		sim.requestVersion(3)
		time.Sleep(12 * time.Second)
		must.Eq(t, []int64{3, 3}, sim.versions())

		id := sim.engines.delayed[0].endpoint
		sim.engines.restart(id)
		time.Sleep(2 * time.Second)
		must.Eq(t, []Reply{Taken}, sim.engines.deliverDelayed())
		time.Sleep(loadTime + time.Millisecond)
		must.SliceContains(t, sim.versions(), 2)
		time.Sleep(12 * time.Second)
		test.Eq(t, []int64{3, 3}, sim.versions())
		stop()
	})
}

// TestJobOfRestartedEngine checks that the job of a restarted engine is deleted.
func TestJobOfRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Service{jobs: map[string]*job{"a": {model: model, version: 2, startedMs: 1, startedAt: time.Now(), orderedAt: time.Now()}}}
		sim := newSimulation("a")
		sim.engines.restart("a")
		f := fleetOf(sim)
		test.SliceEmpty(t, s.nextChecks(f.All()))
		test.MapEmpty(t, s.jobs)
		s.startJobs(Outdated(f.All(), model, 2), model, 2, 1)
		test.Eq(t, 2, s.jobs["a"].startedMs)
		test.Len(t, 1, s.nextChecks(f.All()))
	})
}

// TestReportOfAnotherProcess checks that a report from a newer or older process of the engine does
// not affect a job.
func TestReportOfAnotherProcess(t *testing.T) {
	j := &job{startedMs: 2}
	var matching []int64
	for _, startedMs := range []int64{0, 1, 2, 3} {
		if j.matchesProcess(&Report{StartedMs: startedMs}) {
			matching = append(matching, startedMs)
		}
	}
	test.True(t, slices.Equal([]int64{0, 2}, matching))
}

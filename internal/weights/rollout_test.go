package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// Limits for new weights of a deployment of 90 engines: no run may begin on older ones after the first,
	// and no engine may have older ones after the second.
	beginLimit = 15 * time.Second
	allLimit   = 21 * time.Second
	// unlimited is long enough for each rollout that ends at all.
	unlimited = time.Minute
)

// ninetyEngines returns a system of 90 engines that load for 1.1 s.
func ninetyEngines() *simulation {
	sim := newSimulation(engineIDs(90)...)
	sim.engines.loadTime = 1100 * time.Millisecond
	return sim
}

// rollout is what a rollout to version 2 took.
type rollout struct {
	took       time.Duration  // until all engines had the version; unlimited if they never did
	closings   map[string]int // how many times each engine was announced as closed
	closedTime time.Duration  // mean time that an engine was closed
	mostClosed int            // largest number of engines that were closed at once
}

// String implements fmt.Stringer.
func (r *rollout) String() string {
	return fmt.Sprintf("took %v, closed at most %d times, %v on average, at most %d engines at once", r.took, r.mostClosings(), r.closedTime, r.mostClosed)
}

// mostClosings returns how many times an engine was closed at most.
func (r *rollout) mostClosings() int {
	most := 0
	for _, n := range r.closings {
		most = max(most, n)
	}
	return most
}

// rollOut starts the given number of nodes, requests version 2 and watches until all engines have it.
func (sim *simulation) rollOut(t *testing.T, nodes int) rollout {
	t.Helper()
	const tick = 10 * time.Millisecond
	var stops []func()
	for i := range nodes {
		stops = append(stops, sim.startNode(t, fmt.Sprint("n", i+1)))
	}
	time.Sleep(time.Second)
	sim.requestVersion(2)
	r := rollout{closings: make(map[string]int)}
	before := make(map[string]bool)
	for ; r.took < unlimited && sim.outdatedExcept(nil, 2) > 0; r.took += tick {
		time.Sleep(tick)
		closed := sim.closed()
		for id := range closed {
			if !before[id] {
				r.closings[id]++
			}
		}
		before = closed
		r.closedTime += tick * time.Duration(len(closed)) / time.Duration(len(sim.ids))
		r.mostClosed = max(r.mostClosed, len(closed))
	}
	for _, stop := range stops {
		stop()
	}
	return r
}

// closed returns the engines that any node announces as closed.
func (sim *simulation) closed() map[string]bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	closed := make(map[string]bool)
	for _, s := range sim.services {
		for _, c := range s.Closed() {
			closed[c.Endpoint] = true
		}
	}
	return closed
}

// checkOrders fails if orders of two nodes came within the lease, or if the token of an order is lower than that of
// one before.
func (sim *simulation) checkOrders(t *testing.T) {
	t.Helper()
	orders := sim.orders()
	for i := range max(0, len(orders)-1) {
		earlier, later := orders[i], orders[i+1]
		must.GreaterEq(t, earlier.Token, later.Token)
		if earlier.Holder != later.Holder {
			must.Greater(t, earlier.Token, later.Token)
			must.GreaterEq(t, lease, later.at.Sub(earlier.at))
		}
	}
}

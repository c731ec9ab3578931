package weights

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// fleetOfDomains is the number of engines of a fleet in several failure domains.
const fleetOfDomains = 90

// cutFromAFifth cuts a node from every fifth engine.
func (sim *simulation) cutFromAFifth(node string) {
	for i, id := range sim.ids {
		if i%5 == 0 {
			sim.partitioned.Store(link{node, id}, true)
		}
	}
}

// leader waits for a node to hold the claim and returns its name.
func (sim *simulation) leader() string {
	for {
		time.Sleep(10 * time.Millisecond)
		sim.mu.Lock()
		for name, s := range sim.services {
			if s.Leads() {
				sim.mu.Unlock()
				return name
			}
		}
		sim.mu.Unlock()
	}
}

// TestEnginesThatOnlyTheHolderCannotReachStayOld checks that all engines are updated although the claim's holder
// does not reach a fifth of them.
func TestEnginesThatOnlyTheHolderCannotReachStayOld(t *testing.T) {
	const allLimit = 21 * time.Second // the operators' limit for the whole fleet
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(engineIDs(fleetOfDomains)...)
		sim.standby = []string{"n0", "n1", "n2"}
		var stops []func()
		for i := range 8 {
			stops = append(stops, sim.startNode(t, fmt.Sprint("n", i)))
		}
		time.Sleep(time.Second)
		limit := time.Now().Add(allLimit)
		sim.requestVersion(2)
		sim.cutFromAFifth(sim.leader())
		time.Sleep(time.Until(limit))
		test.Eq(t, 0, sim.outdatedExcept(nil, 2))
		for _, stop := range stops {
			stop()
		}
	})
}

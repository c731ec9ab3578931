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

// startPartitioned starts eight nodes, requests a version, and cuts the nodes that are chosen with the name of
// the claim's holder from a fifth of the engines. It returns a function that stops the nodes.
func (sim *simulation) startPartitioned(t *testing.T, isCut func(node, holder string) bool) (stop func()) {
	var stops []func()
	for i := range 8 {
		stops = append(stops, sim.startNode(t, fmt.Sprint("n", i)))
	}
	time.Sleep(time.Second)
	sim.requestVersion(2)
	holder := sim.leader()
	for i := range stops {
		if node := fmt.Sprint("n", i); isCut(node, holder) {
			sim.cutFromAFifth(node)
		}
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// TestEnginesThatOnlyTheHolderCannotReachStayOld checks that all engines are updated although the claim's holder
// does not reach a fifth of them.
func TestEnginesThatOnlyTheHolderCannotReachStayOld(t *testing.T) {
	const allLimit = 21 * time.Second // the operators' limit for the whole fleet
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(engineIDs(fleetOfDomains)...)
		sim.standby = []string{"n0", "n1", "n2"}
		limit := time.Now().Add(allLimit)
		stop := sim.startPartitioned(t, func(node, holder string) bool { return node == holder })
		time.Sleep(time.Until(limit))
		test.Eq(t, 0, sim.outdatedExcept(nil, 2))
		orders := sim.orders()
		for i := 1; i < len(orders); i++ {
			if orders[i].Holder != orders[i-1].Holder {
				test.GreaterEq(t, lease, orders[i].at.Sub(orders[i-1].at))
			}
		}
		stop()
	})
}

// TestEnginesThatNobodyReachesMoveTheClaim checks that the claim stays with its holder while no node reaches the
// engines that are left.
func TestEnginesThatNobodyReachesMoveTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(engineIDs(fleetOfDomains)...)
		sim.standby = []string{"n0", "n1", "n2"}
		stop := sim.startPartitioned(t, func(string, string) bool { return true })
		holder := sim.leader()
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			test.Eq(t, holder, sim.leader())
		}
		test.Eq(t, fleetOfDomains/5, sim.outdatedExcept(nil, 2))
		stop()
	})
}

package weights

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// guessWrongly makes the versions of the outdated engines unknown at a node, as after two answers of an engine that
// has neither the version of its entry nor the next one.
func guessWrongly(f *fleet.Fleet, version int64) {
	for _, m := range Outdated(f.All(), model, version) {
		listed := m.VersionOf(model)
		m.RecordVersionRefusal(model, listed, time.Now())
		m.RecordVersionRefusal(model, listed+1, time.Now())
	}
}

// TestEnginesOfUnknownVersionEndTheClaim checks that the claim's holder goes on while the versions of all outdated
// engines are unknown to it, as their entries tell that they are old.
func TestEnginesOfUnknownVersionEndTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(engineIDs(fleetOfDomains)...)
		var stops []func()
		for i := range 3 {
			stops = append(stops, sim.startNode(t, fmt.Sprint("n", i)))
		}
		time.Sleep(time.Second)
		sim.requestVersion(2)
		holder := sim.leader()
		time.Sleep(3 * time.Second)
		guessWrongly(sim.services[holder].Fleet, 2)
		const limit = 10 * time.Second // what the fleet takes, with a tenth to spare
		time.Sleep(limit - 3*time.Second)
		test.Eq(t, 0, sim.outdatedExcept(nil, 2))
		for _, stop := range stops {
			stop()
		}
	})
}

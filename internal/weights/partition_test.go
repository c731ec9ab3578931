package weights

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// linkedEngines are the engines as seen from one node.
type linkedEngines struct {
	Engines
	*simulation
	node string
}

// link is the path from a node to an engine.
type link struct{ node, endpoint string }

func (sim *simulation) isPartitioned(node string) bool {
	_, partitioned := sim.partitioned.Load(node)
	return partitioned
}

// reaches reports whether a node can connect to an engine.
func (sim *simulation) reaches(node, endpoint string) bool {
	_, cut := sim.partitioned.Load(link{node, endpoint})
	return !cut && !sim.isPartitioned(node)
}

// nodePaths implements Paths for one node.
type nodePaths struct {
	*simulation
	name string
}

func (p nodePaths) LostService(string) bool { return p.isPartitioned(p.name) }

func (p nodePaths) Connects(m *fleet.Member) bool { return p.reaches(p.name, m.ID) }

func (p nodePaths) ConnectsElsewhere(m *fleet.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.services {
		if name != p.name && p.reaches(name, m.ID) {
			return true
		}
	}
	return false
}

func (e linkedEngines) Report(ctx context.Context, at *fleet.Endpoint) (Report, error) {
	if !e.reaches(e.node, at.ID) {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	return e.Engines.Report(ctx, at)
}

func (e linkedEngines) Order(ctx context.Context, at *fleet.Endpoint, o Order) (Reply, error) {
	if !e.reaches(e.node, at.ID) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return e.Engines.Order(ctx, at, o)
}

// TestHolderWithoutAPathToTheEnginesLeavesTheClaim checks that engines are updated although the node that
// holds the claim is partitioned from them, while the log still hears it.
func TestHolderWithoutAPathToTheEnginesLeavesTheClaim(t *testing.T) {
	const versionLimit = 12 * time.Second // the shortest limit for new weights of any deployment
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		stops := []func(){sim.startNode(t, "n1"), sim.startNode(t, "n2"), sim.startNode(t, "n3")}
		time.Sleep(time.Second)
		sim.requestVersion(2)
		holder := ""
		for holder == "" {
			time.Sleep(10 * time.Millisecond)
			for name, s := range sim.services {
				if s.Leads() {
					holder = name
				}
			}
		}
		sim.partitioned.Store(holder, true)
		time.Sleep(versionLimit)
		must.Eq(t, slices.Repeat([]int64{2}, len(sim.ids)), sim.versions())
		sim.requestVersion(3)
		time.Sleep(versionLimit)
		must.Eq(t, slices.Repeat([]int64{3}, len(sim.ids)), sim.versions(), must.Sprint("the partitioned node doesn't claim again"))
		for _, stop := range stops {
			stop()
		}
	})
}

package soak

import (
	"math/rand/v2"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// What operators and servers do around a step.
const (
	noOrder = iota
	weightsNamed
	domainEvacuated
	lastLimited
	orderKinds
)

const (
	maxOrderLead = 2 * time.Second // from an order to the step
	maxOrderTime = 2 * time.Second // beyond the shortest time of an evacuation or a limit, or between versions
	lastServers  = 2               // of a release that goes out
)

// releaseOrder is what operators and servers do around a step.
type releaseOrder struct {
	kind, target int
	lead, lasts  time.Duration
}

// orders draws what happens around steps. It has a random source of its own, so that a seed has the same steps without.
type orders struct{ *rand.Rand }

func newOrders(seed int64) *orders { return &orders{rand.New(rand.NewPCG(uint64(seed), 6))} }

func (r *orders) draw() *releaseOrder {
	return &releaseOrder{
		kind: r.IntN(orderKinds), target: r.IntN(targetRange),
		lead: time.Duration(r.Int64N(int64(maxOrderLead))), lasts: time.Duration(r.Int64N(int64(maxOrderTime))),
	}
}

// order begins what happens around a step, and waits for its lead.
func (c *releaseChanges) order(o *releaseOrder) {
	switch o.kind {
	case weightsNamed:
		c.beside(func() { c.setVersions(o.target, o.lasts) })
	case domainEvacuated:
		c.beside(func() { c.evacuate(o.target, o.lasts) })
	case lastLimited:
		last := c.leaveLast()
		c.beside(func() { c.limit(last, o.lasts) })
	}
	c.pause(o.lead)
}

// beside injects a fault beside the steps that follow.
func (c *releaseChanges) beside(inject func()) {
	end := c.acting.open()
	c.restarts.Go(func() { defer end(); inject() })
}

// leaveLast returns the last servers of the release that serves. While another one comes in, its other servers leave.
func (c *releaseChanges) leaveLast() (last []*modelserver.Server) {
	pool := c.pools[c.serves]
	rest := max(len(pool)-lastServers, 0)
	if c.joining != c.serves {
		for _, i := range pool[:rest] {
			c.leave(i)
		}
	}
	for _, i := range pool[rest:] {
		last = append(last, c.site.Models[i])
	}
	return last
}

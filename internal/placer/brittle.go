package placer

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

// brittleEndpoint returns an endpoint of a brittle service, with what the request would take there.
func (g *gate) brittleEndpoint(m *fleet.Member) *brittle.Endpoint {
	e := &brittle.Endpoint{
		ID: m.ID, StartedMs: m.StartedMs, Domain: m.Endpoint().Domain, Slots: m.Endpoint().Slots, Refusals: g.refusals,
		Running: m.Load.Running() + g.peerLoads(m).Running,
	}
	engine := g.q.Service.Engine
	if engine == nil || g.q.Attributes.Model == "" {
		return e
	}
	if e.Slots <= 0 {
		e.Slots = engine.Slots
	}
	e.Tokens, e.Capacity = averageHeldTokens(g.q), engine.KVTokens
	return e
}

// bindSlot makes a placement at a brittle endpoint wait for a slot that its lender lends.
func (g *gate) bindSlot(p *forward.Placement) {
	if !g.isBrittle {
		return
	}
	endpoint := g.brittleEndpoint(p.Member)
	p.Borrow = func(ctx context.Context) forward.Slot {
		if slot := g.Brittle.Borrow(ctx, endpoint); slot != nil {
			return slot
		}
		return nil // not a Slot that holds a nil pointer
	}
	p.OnRefusal = func() time.Duration { return g.retryAfter(backoffSpacing, backoffSpacing) }
}

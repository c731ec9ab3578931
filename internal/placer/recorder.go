package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
)

// Recorder counts the decisions of a placer.
type Recorder interface {
	// Refused counts a request that is refused because no endpoint accepts it, by the reason.
	Refused(route *routing.Route, reason string)
	// PlacedInOtherDomain counts a prompt that is placed in another failure domain than the node's.
	// spilled is true if the node's own domain had no room for it.
	PlacedInOtherDomain(route *routing.Route, spilled bool)
}

// reasonUnavailable is the reason under which refusals without a reason of their own are counted: no
// endpoint of the service is usable.
const reasonUnavailable = "unavailable"

// countRefusal has the refusal of a request counted. A waiting request fails to be placed several times,
// but is counted once, in OnRefusal.
func (p *Placer) countRefusal(q *forward.Query, placement *forward.Placement) {
	if p.Recorder == nil {
		return
	}
	reason, onRefusal := placement.Reason, placement.OnRefusal
	if reason == "" {
		reason = reasonUnavailable
	}
	placement.OnRefusal = func() time.Duration {
		p.Recorder.Refused(q.Route, reason)
		if onRefusal == nil {
			return 0
		}
		return onRefusal()
	}
}

// countPlacement counts a prompt that is placed in another failure domain. In a small system all domains
// are used alike.
func (p *Placer) countPlacement(q *forward.Query, m *fleet.Member, spilled bool) {
	if p.Recorder != nil && !p.FullMesh() && m.Endpoint().Domain != p.Domain {
		p.Recorder.PlacedInOtherDomain(q.Route, spilled)
	}
}

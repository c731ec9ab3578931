package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/slowstart"
	"github.com/cherryward/cherryward/internal/throttle"
)

// Reasons for which this node may send no request to any endpoint now. Where the endpoints differ,
// the reason is that of the endpoint available first.
const (
	reasonCold       = "cold"        // the endpoint available first has just started
	reasonLimited    = "limited"     // the endpoint available first has a rate limit, and this node's share is used up
	reasonBrittle    = "brittle"     // the endpoint available first must refuse few requests, and its slots are filled
	reasonBackingOff = "backing_off" // the endpoint available first has requested a backoff
)

// backoffSpacing is the time between the retries of successive callers that are refused because all
// endpoints back off, or are filled and must refuse few requests. Without it, all callers refused within several seconds would retry at the
// same time.
const backoffSpacing = 10 * time.Millisecond

// gate decides which endpoints of a service this node may send requests to now, whatever their
// cost.
type gate struct {
	*Placer
	q                *forward.Query
	now              time.Time
	maxColdPerSecond int // requests per second that a cold endpoint may get; 0 for no limit
	isBrittle        bool
	refusals         int // refusals per second that an endpoint of a brittle service bears
	peerLoads        func(m *fleet.Member) peerload.Sum
}

func (p *Placer) gate(q *forward.Query) *gate {
	g := &gate{Placer: p, q: q, now: p.Now()}
	g.peerLoads = func(m *fleet.Member) peerload.Sum { return p.PeerLoads.Loads(g.now).At(m.ID, m.StartedMs) }
	if p.SlowStart != nil && p.MaxColdPerSecond != nil {
		g.maxColdPerSecond = p.MaxColdPerSecond(q.Service)
	}
	if p.Brittle != nil {
		g.refusals, g.isBrittle = p.Brittle.Reports.Refusals(q.Service.Name, g.now)
	}
	return g
}

// isColdLimited reports whether an endpoint is cold and the service limits requests to cold
// endpoints.
func (g *gate) isColdLimited(m *fleet.Member) bool { return g.maxColdPerSecond > 0 && m.Cold(g.now) }

func (g *gate) slowStartEndpoint(m *fleet.Member) *slowstart.Endpoint {
	return &slowstart.Endpoint{ID: m.ID, Domain: m.Endpoint().Domain, MaxPerSecond: g.maxColdPerSecond}
}

// throttleEndpoint returns the rate limit of an endpoint in the throttle's form, or nil if it has
// none in force.
func (g *gate) throttleEndpoint(m *fleet.Member) *throttle.Endpoint {
	limit, known := m.Signals.RateLimit()
	if !known || !limit.InForce || g.Throttle == nil {
		return nil
	}
	return &throttle.Endpoint{ID: m.ID, Domain: m.Endpoint().Domain, PerSecond: limit.PerSecond, ReportAge: g.now.Sub(limit.At)}
}

// blocked returns why no request may be sent to an endpoint now, and for how long. The reason is
// empty if a request may be sent.
func (g *gate) blocked(m *fleet.Member) (reason string, wait time.Duration) {
	if b, backsOff := m.Signals.Backoff(g.now); backsOff {
		return reasonBackingOff, b.Until.Sub(g.now)
	}
	if g.isColdLimited(m) && !g.SlowStart.Allows(g.slowStartEndpoint(m), g.now) {
		return reasonCold, m.ColdUntil().Sub(g.now)
	}
	if e := g.throttleEndpoint(m); e != nil {
		if wait = g.Throttle.Wait(e, g.now); wait > 0 {
			return reasonLimited, wait
		}
	}
	if g.isBrittle {
		if wait = g.Brittle.Wait(g.brittleEndpoint(m), g.now); wait > 0 {
			return reasonBrittle, wait
		}
	}
	return "", 0
}

// unblocked returns the endpoints to which a request may be sent now.
func (g *gate) unblocked(members []*fleet.Member) []*fleet.Member {
	return without(members, func(m *fleet.Member) bool {
		reason, _ := g.blocked(m)
		return reason != ""
	})
}

// takeCheapest returns the endpoint with the lowest cost whose limits allow a request, and counts
// the request against these limits. It returns nil if requests placed in the meantime used up all
// limits.
func (g *gate) takeCheapest(list []scored) *fleet.Member {
	for len(list) > 0 {
		best := slices.MinFunc(list, byCost).member
		if g.countIfAllowed(best) {
			return best
		}
		list = slices.DeleteFunc(list, func(s scored) bool { return s.member == best })
	}
	return nil
}

// countIfAllowed counts a request to an endpoint if the endpoint's limits allow it, and reports
// whether they do.
func (g *gate) countIfAllowed(m *fleet.Member) bool {
	if e := g.throttleEndpoint(m); e != nil && !g.Throttle.Take(e, g.now) {
		return false
	}
	return !g.isColdLimited(m) || g.SlowStart.Take(g.slowStartEndpoint(m), g.now)
}

// decline returns why no endpoint may get the request, based on the endpoint that becomes available
// first.
func (g *gate) decline(members []*fleet.Member) forward.Placement {
	var reason string
	shortest := throttle.Never
	for _, m := range members {
		if why, wait := g.blocked(m); reason == "" || wait < shortest {
			reason, shortest = why, wait
		}
	}
	switch reason {
	case reasonLimited:
		return g.declineLimited(members, shortest)
	case reasonBackingOff, reasonBrittle:
		return forward.Placement{Reason: reason, PredictedWait: shortest, OnRefusal: func() time.Duration { return g.retryAfter(shortest, backoffSpacing) }}
	}
	return forward.Placement{Reason: reason, PredictedWait: shortest, OnRefusal: func() time.Duration { return shortest }}
}

// declineLimited refuses a request because of rate limits. The wait is the time until this node may
// send the next request, or throttle.Never if the endpoints are assigned to other nodes. As callers
// may retry at any node, the retries are spaced by the rate of all nodes together.
func (g *gate) declineLimited(members []*fleet.Member, wait time.Duration) forward.Placement {
	if wait == throttle.Never {
		wait = 0
	}
	return forward.Placement{Reason: reasonLimited, PredictedWait: wait, OnRefusal: func() time.Duration {
		perSecond := 0.0
		for _, m := range members {
			if e := g.throttleEndpoint(m); e != nil {
				perSecond += throttle.ShareOf(e.PerSecond).PerSecond()
			}
		}
		if perSecond <= 0 { // the limits ended in the meantime
			return wait
		}
		return g.retryAfter(wait, duration(1000*float64(g.Nodes())/perSecond))
	}}
}

// retryAfter returns the delay after which the caller may retry: at least wait, and at least
// spacing after the retry of the previously refused caller, but bounded by maxRetryShare of the
// time left until the caller's deadline.
func (g *gate) retryAfter(wait, spacing time.Duration) time.Duration {
	maxDelay := time.Duration(maxRetryShare * float64(g.q.Attributes.Deadline))
	return g.Services.forName(g.q.Service.Name).retries.After(g.now, wait, spacing, maxDelay)
}

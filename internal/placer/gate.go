package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/slowstart"
	"github.com/cherryward/cherryward/internal/throttle"
)

// Reasons of a refusal where this node may send nothing to any endpoint now.
const (
	allCold       = "cold"        // they have just started
	allLimited    = "limited"     // they name limits, and this node's share is used up
	allBackingOff = "backing_off" // they refused requests, and want none of this node for now
)

// backoffSpacing is the time between the returns of two callers that are refused as all endpoints asked for a
// backoff: those of some seconds would come back at once.
const backoffSpacing = 10 * time.Millisecond

// gate is what this node may send to the endpoints of a service at all now, whatever speaks for them.
type gate struct {
	*Placer
	q        *forward.Query
	now      time.Time
	mostCold int // requests in a second that a cold endpoint may get; 0 where any number
}

func (p *Placer) gate(q *forward.Query) *gate {
	g := &gate{Placer: p, q: q, now: p.Now()}
	if p.SlowStart != nil && p.MostCold != nil {
		g.mostCold = p.MostCold(q.Service)
	}
	return g
}

// isCold reports whether an endpoint is cold and its requests are bounded.
func (g *gate) isCold(m *fleet.Member) bool { return g.mostCold > 0 && m.Cold(g.now) }

func (g *gate) cold(m *fleet.Member) *slowstart.Endpoint {
	return &slowstart.Endpoint{ID: m.ID, Domain: m.Endpoint().Domain, Most: g.mostCold}
}

// limited returns an endpoint as one that names a limit; nil for one that names none.
func (g *gate) limited(m *fleet.Member) *throttle.Endpoint {
	limit, known := m.Signals.RateLimit()
	if !known || !limit.InForce || g.Throttle == nil {
		return nil
	}
	return &throttle.Endpoint{ID: m.ID, Domain: m.Endpoint().Domain, PerSecond: limit.PerSecond, Age: g.now.Sub(limit.At)}
}

// closed returns why nothing may be sent to an endpoint now, and for how long; an empty reason where a
// request may be.
func (g *gate) closed(m *fleet.Member) (reason string, wait time.Duration) {
	if b, backsOff := m.Signals.Backoff(g.now); backsOff {
		return allBackingOff, b.Until.Sub(g.now)
	}
	if g.isCold(m) && !g.SlowStart.Allows(g.cold(m), g.now) {
		return allCold, m.ColdUntil().Sub(g.now)
	}
	if e := g.limited(m); e != nil {
		if wait = g.Throttle.Wait(e, g.now); wait > 0 {
			return allLimited, wait
		}
	}
	return "", 0
}

// open returns the endpoints that a request may be sent to now.
func (g *gate) open(members []*fleet.Member) []*fleet.Member {
	return without(members, func(m *fleet.Member) bool {
		reason, _ := g.closed(m)
		return reason != ""
	})
}

// take returns the endpoint of least cost, with the request counted where that bounds them; nil where
// requests that were placed meanwhile left nothing.
func (g *gate) take(list []scored) *fleet.Member {
	for len(list) > 0 {
		best := slices.MinFunc(list, byCost).member
		if g.count(best) {
			return best
		}
		list = slices.DeleteFunc(list, func(s scored) bool { return s.member == best })
	}
	return nil
}

// count counts a request that is sent to an endpoint, and reports false where it may not be.
func (g *gate) count(m *fleet.Member) bool {
	if e := g.limited(m); e != nil && !g.Throttle.Take(e, g.now) {
		return false
	}
	return !g.isCold(m) || g.SlowStart.Take(g.cold(m), g.now)
}

// decline returns why there is no place, by the endpoint that is open first.
func (g *gate) decline(members []*fleet.Member) forward.Placement {
	var reason string
	least := throttle.Never
	for _, m := range members {
		if why, wait := g.closed(m); reason == "" || wait < least {
			reason, least = why, wait
		}
	}
	switch reason {
	case allLimited:
		return g.declineLimited(members, least)
	case allBackingOff:
		return forward.Placement{Reason: reason, Wait: least, Refuse: func() time.Duration { return g.comeBack(least, backoffSpacing) }}
	}
	return forward.Placement{Reason: reason, Wait: least, Refuse: func() time.Duration { return least }}
}

// declineLimited refuses a request where endpoints name limits: this node may send one of them the next
// request after a wait, or leaves them to others. Callers come back, to any node, as often as all nodes
// together may send requests.
func (g *gate) declineLimited(members []*fleet.Member, wait time.Duration) forward.Placement {
	if wait == throttle.Never {
		wait = 0
	}
	return forward.Placement{Reason: allLimited, Wait: wait, Refuse: func() time.Duration {
		perSecond := 0.0
		for _, m := range members {
			if e := g.limited(m); e != nil {
				perSecond += throttle.ShareOf(e.PerSecond).PerSecond()
			}
		}
		if perSecond <= 0 { // the limits have ended meanwhile
			return wait
		}
		return g.comeBack(wait, duration(1000*float64(g.Nodes())/perSecond))
	}}
}

// comeBack returns when the caller may come back: after a wait, and a spacing after the one that was refused
// before, but within the time for which callers wait.
func (g *gate) comeBack(wait, spacing time.Duration) time.Duration {
	most := time.Duration(honoured * float64(g.q.Attributes.Deadline))
	return g.Services.of(g.q.Service.Name).returns.After(g.now, wait, spacing, most)
}

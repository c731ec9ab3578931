package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/slowstart"
)

// allCold is the reason of a refusal where every endpoint is cold and this node may send nothing to it.
const allCold = "cold"

// coldLimit decides how much this node may send to the cold endpoints of a service.
type coldLimit struct {
	limiter *slowstart.Limiter
	most    int // requests in a second that a cold endpoint may get; 0 where any number
}

func (p *Placer) cold(s *routing.Service) *coldLimit {
	if p.SlowStart == nil || p.MostCold == nil {
		return &coldLimit{}
	}
	return &coldLimit{limiter: p.SlowStart, most: p.MostCold(s)}
}

// bounds reports whether an endpoint is cold and its requests are bounded.
func (c *coldLimit) bounds(m *fleet.Member, now time.Time) bool { return c.most > 0 && m.Cold(now) }

func (c *coldLimit) endpoint(m *fleet.Member) *slowstart.Endpoint {
	return &slowstart.Endpoint{ID: m.ID, Domain: m.Endpoint().Domain, Most: c.most}
}

// allowed returns the endpoints that a request may be sent to now: the warm ones, and those cold ones
// that may get one from this node.
func (c *coldLimit) allowed(members []*fleet.Member, now time.Time) []*fleet.Member {
	if c.most == 0 {
		return members
	}
	return without(members, func(m *fleet.Member) bool { return c.bounds(m, now) && !c.limiter.Allows(c.endpoint(m), now) })
}

// take returns the endpoint of least cost, with the request counted where that is cold; nil where
// requests that were placed meanwhile left nothing.
func (c *coldLimit) take(list []scored, now time.Time) *fleet.Member {
	for len(list) > 0 {
		best := slices.MinFunc(list, byCost).member
		if !c.bounds(best, now) || c.limiter.Take(c.endpoint(best), now) {
			return best
		}
		list = slices.DeleteFunc(list, func(s scored) bool { return s.member == best })
	}
	return nil
}

// decline returns why there is no place, with the time until the first of the endpoints is warm.
func (c *coldLimit) decline(members []*fleet.Member, now time.Time) forward.Placement {
	first := slices.MinFunc(members, func(a, b *fleet.Member) int { return a.ColdUntil().Compare(b.ColdUntil()) })
	wait := max(first.ColdUntil().Sub(now), 0)
	return forward.Placement{Reason: allCold, Wait: wait, Refuse: func() time.Duration { return wait }}
}

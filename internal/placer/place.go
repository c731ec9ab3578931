package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

const (
	// reasonEvacuated is the reason of a refusal because the failure domains of all endpoints are
	// evacuated.
	reasonEvacuated = "evacuated"
	// reasonRegion is the reason of a refusal because no endpoint is in an allowed region.
	reasonRegion = "region"
	// regionRetryAfter is when callers may retry after such a refusal: endpoints must start there, or
	// operators must change the configuration.
	regionRetryAfter = 5 * time.Second
	// reasonRelease is the reason of a refusal because no endpoint of the release that began the stream
	// takes requests.
	reasonRelease = "release"
	// reasonUnrecorded is the reason of a refusal because no stream may begin yet at the releases of the endpoints.
	// They are recorded within unrecordedWait unless the platform's store is slow; unrecordedRetryAfter is when callers
	// may retry.
	reasonUnrecorded     = "unrecorded"
	unrecordedWait       = 20 * time.Millisecond
	unrecordedRetryAfter = 500 * time.Millisecond
)

// Place implements forward.Placer.
func (p *Placer) Place(q *forward.Query) (forward.Placement, bool) {
	placement, ok := p.place(q)
	if !ok {
		p.countRefusal(q, &placement)
	}
	return placement, ok
}

func (p *Placer) place(q *forward.Query) (forward.Placement, bool) {
	allowed := p.inScope(q, p.Fleet.Members(q.Service.Name))
	if len(allowed) == 0 && q.Residency.Confined() {
		return forward.Placement{
			Reason: reasonRegion, RefusalCode: result.NoEndpointInRegion,
			OnRefusal: func() time.Duration { return regionRetryAfter },
		}, false
	}
	available := p.notEvacuated(allowed)
	if len(available) == 0 && len(allowed) > 0 {
		return forward.Placement{Reason: reasonEvacuated}, false
	}
	recorded := p.mayBegin(q, available)
	if len(recorded) == 0 && len(available) > 0 {
		return forward.Placement{
			Reason: reasonUnrecorded, PredictedWait: unrecordedWait, OnRefusal: func() time.Duration { return unrecordedRetryAfter },
		}, false
	}
	available = recorded
	first, then := []*fleet.Member(nil), available
	if p.Releases != nil {
		first, then = p.Releases.Split(q.Service.Name, q.Route.Name, available, p.Now())
	}
	first, then = ofRelease(q.Release, first), ofRelease(q.Release, then)
	if q.Release != "" && len(available) > 0 && len(first)+len(then) == 0 {
		return p.declineRelease(q, available), false
	}
	placement, ok := forward.Placement{}, false
	if len(first) > 0 {
		placement, ok = p.placeAmong(q, first)
	}
	if !ok && (len(then) > 0 || len(first) == 0) {
		placement, ok = p.placeAmong(q, then)
	}
	if ok && p.Releases != nil {
		p.recordRelease(q, &placement)
	}
	return placement, ok
}

// mayBegin returns the endpoints at whose releases a request may begin a stream. One that does not, or that continues a
// stream, may be sent to all.
func (p *Placer) mayBegin(q *forward.Query, members []*fleet.Member) []*fleet.Member {
	if p.MayBegin == nil || q.Release != "" || q.Route.Kind != routing.Stream || !q.Route.Resumable {
		return members
	}
	allowed := make(map[string]bool) // by release
	return without(members, func(m *fleet.Member) bool {
		release := m.Endpoint().Release
		may, known := allowed[release]
		if !known {
			may = p.MayBegin(q.Service.Name, release)
			allowed[release] = may
		}
		return !may
	})
}

// declineRelease refuses a request that no endpoint of its release may get. Waiting helps only while that
// release is on trial, with its share of requests used up.
func (p *Placer) declineRelease(q *forward.Query, available []*fleet.Member) forward.Placement {
	gone := len(ofRelease(q.Release, available)) == 0
	withdrawn := p.Releases != nil && p.Releases.Withdrawn(q.Service.Name, q.Release)
	return forward.Placement{Reason: reasonRelease, RefusalCode: result.NoEndpointOfRelease, Final: gone || withdrawn}
}

// ofRelease returns the endpoints that may serve a request which is bound to a release; empty means that
// it is bound to none.
func ofRelease(release string, members []*fleet.Member) []*fleet.Member {
	if release == "" {
		return members
	}
	return without(members, func(m *fleet.Member) bool { return m.Endpoint().Release != release })
}

// recordRelease counts a placement while the service is moved to another release, and has its answer
// counted.
func (p *Placer) recordRelease(q *forward.Query, placement *forward.Placement) {
	service, route, m := q.Service.Name, q.Route.Name, placement.Member
	if !p.Releases.RecordSend(service, m, len(q.Tried) == 0) {
		return
	}
	placement.RecordAnswer = func(bad bool, took time.Duration) { p.Releases.RecordAnswer(service, route, m, bad, took) }
}

// placeAmong selects one of the given endpoints.
func (p *Placer) placeAmong(q *forward.Query, available []*fleet.Member) (forward.Placement, bool) {
	gate := p.gate(q)
	ready := gate.unblocked(available)
	if len(ready) == 0 && len(available) > 0 {
		return gate.decline(available), false
	}
	candidates := usable(ready, q.Tried, gate.now)
	if len(candidates) == 0 {
		return forward.Placement{}, false
	}
	placement, ok := p.placeOn(q, candidates, gate)
	if ok {
		gate.bindSlot(&placement)
	}
	return placement, ok
}

// placeOn selects one of the endpoints that may get the request now.
func (p *Placer) placeOn(q *forward.Query, candidates []*fleet.Member, gate *gate) (forward.Placement, bool) {
	if q.Service.Engine == nil || q.Attributes.Model == "" {
		return p.placePlain(q, candidates, gate)
	}
	return p.placePrompt(q, candidates, gate)
}

// inScope returns the endpoints in regions that the request's residency policy allows.
func (p *Placer) inScope(q *forward.Query, members []*fleet.Member) []*fleet.Member {
	if !q.Residency.Confined() {
		return members
	}
	scope := p.Regions.Scope(q.Residency)
	return without(members, func(m *fleet.Member) bool { return !scope.Contains(m.Endpoint().Domain) })
}

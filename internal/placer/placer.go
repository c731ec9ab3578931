// Package placer chooses the endpoint for each request of a gateway node.
//
// A placement has three steps: filter the endpoints that may take the request, score the remaining
// ones by the predicted time to the first event (without model engines: by the requests in flight),
// and select the one with the lowest cost. The reason is returned with the choice.
package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/canary"
	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/residency"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/slowstart"
	"github.com/cherryward/cherryward/internal/throttle"
	"github.com/cherryward/cherryward/internal/weights"
)

// Versions provides the versions of weights that the operators want.
type Versions interface {
	// Wanted returns the wanted version of a model and the latest time at which it was certainly
	// not published yet; version 0 if none was published.
	Wanted(model string) (version int64, since time.Time)
	// Replaced returns the earliest time at which a version may have been replaced, and false if it
	// is the wanted one.
	Replaced(model string, version int64) (since time.Time, ok bool)
}

// Placer implements forward.Placer.
type Placer struct {
	Domain   string // failure domain of this node
	Fleet    *fleet.Fleet
	Versions Versions
	KVIndex  *kvindex.Index
	// Regions holds the region of each failure domain. Nil means that no regions are known.
	Regions residency.Map
	// MayReference reports whether requests may reference parts under a salt at stores. Stores free
	// these some time after the version was replaced, or after the residency policy ended.
	MayReference func(salt kvindex.Salt) bool
	// PeerLoads holds the load reports of the other nodes.
	PeerLoads *peerload.Table
	// RequestReport requests an early load report to the other nodes after a placement.
	RequestReport func()
	// CommonDelay is the average delay of first events that don't depend on a store.
	CommonDelay *kvindex.Lateness
	// FullMesh reports whether all nodes exchange load reports directly, as they do in a small
	// system. In a large system, PeerLoads covers only the nodes of this failure domain.
	FullMesh func() bool
	// Closed returns the engines that this node has ordered to load weights.
	Closed func() []weights.Closed
	// VersionApplyLimit returns the operators' limit for applying new weights.
	VersionApplyLimit func() time.Duration
	// Evacuated reports whether the endpoints of a failure domain must get no requests. Nil means
	// that no domain is evacuated.
	Evacuated func(domain string) bool
	// Releases decides which endpoints may get requests while a service is moved to another release. Nil
	// means that no service is.
	Releases *canary.Gate
	// MayBegin reports whether resumable streams may begin at a release of a service. Nil means that they may at
	// all.
	MayBegin func(service, release string) bool
	// SlowStart shares out the requests to cold endpoints between nodes. MaxColdPerSecond returns
	// the maximum number of requests per second to a cold endpoint of a service, 0 for no limit.
	// Nil means that cold endpoints get as many requests as others.
	SlowStart        *slowstart.Limiter
	MaxColdPerSecond func(s *routing.Service) int
	// Throttle shares out the requests to rate-limited endpoints between nodes. Nil means that rate
	// limits are ignored.
	Throttle *throttle.Limiter
	// Brittle shares out the slots of endpoints that fail if they refuse too many requests. Nil means that
	// this is ignored.
	Brittle *brittle.Service
	// ReplacedGrace returns when this process started, and the time until which runs are still
	// allowed on weights that were replaced before the start. Nil means that no such runs are
	// allowed.
	ReplacedGrace func() (started, until time.Time)
	// Services holds the learned state of the services.
	Services *Services
	// Nodes returns the number of nodes that place requests.
	Nodes func() int
	// ReportLag returns the number of other nodes whose load reports are summed in PeerLoads, and the
	// age of these reports. Nil means that the reports are always current.
	ReportLag func() (nodes int, lag time.Duration)
	// Connected reports whether this node has an open connection to an endpoint. Nil means that the
	// endpoint's connection pool is asked; simulations have no connections.
	Connected func(m *fleet.Member, now time.Time) bool
	// AnnouncePlacement announces a prompt that was sent to an engine to the other nodes of the
	// failure domain. Nil means that prompts are not announced. NoticesInUse reports whether the nodes
	// there currently announce all prompts; nil means that they don't.
	AnnouncePlacement func(m *fleet.Member, promptTokens, heldTokens int)
	NoticesInUse      func() bool
	// RecordLoadAge, if not nil, receives the age of the collected load reports at each placement of a
	// prompt that is based on them.
	RecordLoadAge func(age time.Duration)
	// Pace judges the pace of engines by the events of their streams. Nil means that no engine is known
	// to be slow.
	Pace *enginepace.Services
	// Now is the clock. Random returns a random number in [0, 1).
	Now    func() time.Time
	Random func() float64
	// Recorder counts refusals and prompts placed in other failure domains. Nil means that they are not
	// counted.
	Recorder Recorder
	// Tuning holds the refusal thresholds; nil means DefaultTuning.
	Tuning *Tuning
}

var _ forward.Placer = (*Placer)(nil)

// connected reports whether this node has an open connection to an endpoint.
func (p *Placer) connected(m *fleet.Member, now time.Time) bool {
	if p.Connected != nil {
		return p.Connected(m, now)
	}
	return m.Pool.HasIdle(now)
}

// notEvacuated returns the endpoints whose failure domain is not evacuated.
func (p *Placer) notEvacuated(members []*fleet.Member) []*fleet.Member {
	return without(members, func(m *fleet.Member) bool { return p.evacuated(m.Endpoint().Domain) })
}

// evacuated reports whether the endpoints of a failure domain must get no requests.
func (p *Placer) evacuated(domain string) bool { return p.Evacuated != nil && p.Evacuated(domain) }

// without returns the members for which drop reports false. It calls drop once for each member, and
// copies the list only if some are dropped.
func without(members []*fleet.Member, drop func(*fleet.Member) bool) []*fleet.Member {
	first := slices.IndexFunc(members, drop)
	if first < 0 {
		return members
	}
	rest := append(make([]*fleet.Member, 0, len(members)-1), members[:first]...)
	for _, m := range members[first+1:] {
		if !drop(m) {
			rest = append(rest, m)
		}
	}
	return rest
}

// usable returns the endpoints that were not tried and are healthy. If none is healthy, it returns
// all that were not tried, as refusing every request helps no caller.
func usable(members []*fleet.Member, tried []string, now time.Time) []*fleet.Member {
	untried := without(members, func(m *fleet.Member) bool { return slices.Contains(tried, m.ID) })
	healthy := without(untried, func(m *fleet.Member) bool { return !m.Health.Usable(now) })
	if len(healthy) > 0 {
		return healthy
	}
	return untried
}

const (
	// crossDomainCost is the cost of another failure domain, in requests in flight: a round trip
	// takes 2 ms longer, and its bytes are billed. crossRegionCost is that of another region, where a
	// round trip takes as long as a few short requests.
	crossDomainCost = 0.5
	crossRegionCost = 4
	// failurePenalty is the cost of a failure rate of 1, in requests in flight.
	failurePenalty = 8
	// tieJitter is the maximum random part of the cost, in requests in flight. It spreads requests
	// over equal endpoints.
	tieJitter = 0.2
)

// placePlain selects the endpoint with the lowest cost: its requests in flight, with penalties for
// failures and for another failure domain.
func (p *Placer) placePlain(q *forward.Query, candidates []*fleet.Member, gate *gate) (forward.Placement, bool) {
	now := p.Now()
	peerLoads := p.PeerLoads.Loads(now)
	best := gate.takeCheapest(score(candidates, func(m *fleet.Member) float64 {
		peerLoad := peerLoads.At(m.ID, m.StartedMs)
		cost := float64(m.Load.Running()+peerLoad.Running) + failurePenalty*failureRate(m, peerLoad, now) + tieJitter*p.Random()
		return cost + p.distance(m, crossDomainCost, crossRegionCost)
	}))
	if best == nil {
		return gate.decline(candidates), false
	}
	return forward.Placement{
		Member:  best,
		Attempt: forward.Attempt{Instance: best.ID, Account: accountName(q), Priority: priorityOf(q)},
		Reason:  "least_running",
	}, true
}

// failureRate returns the share of failed attempts observed by this node or its peers, whichever is
// higher.
func failureRate(m *fleet.Member, peerLoad peerload.Sum, now time.Time) float64 {
	return max(m.Health.FailureRate(now), peerLoad.FailureRate())
}

// scored is an endpoint with its cost.
type scored struct {
	member *fleet.Member
	cost   float64
}

func score(members []*fleet.Member, cost func(*fleet.Member) float64) []scored {
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{m, cost(m)}
	}
	return list
}

func byCost(a, b scored) int {
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	}
	return strings.Compare(a.member.ID, b.member.ID)
}

func accountName(q *forward.Query) string {
	if q.Account == nil {
		return ""
	}
	return q.Account.Name
}

const (
	// maxPriority is the largest priority number that engines accept; it is the least urgent.
	maxPriority = 9
	// routePriorities is the number of route priorities within each priority of a client account.
	routePriorities = 3
)

// priorityOf returns the engine priority of a request; 0 is the most urgent. The client account's
// priority takes precedence. The route's priority orders requests of accounts with equal priority.
func priorityOf(q *forward.Query) *int {
	priority := routePriority(q)
	if q.Account != nil && q.Account.Priority != nil {
		priority += routePriorities * max(*q.Account.Priority, 0)
	}
	priority = min(priority, maxPriority)
	return &priority
}

// routePriority returns the priority of a request's route, within the range that engines distinguish.
func routePriority(q *forward.Query) int { return min(max(q.Route.Priority, 0), routePriorities-1) }

// saltOf returns the salt of the request's parts. The salt separates the parts of different models,
// versions, isolated accounts and residency policies in engines, stores and the index, and those that were made before
// the set of isolated accounts changed.
func saltOf(q *forward.Query, version int64) kvindex.Salt {
	salt := kvindex.Salt{Model: q.Attributes.Model, Version: version, Residency: q.Residency.Key()}
	if q.Account != nil && q.Account.Isolated {
		salt.Account = q.Account.Name
	} else {
		salt.Sharing = q.Sharing
	}
	return salt
}

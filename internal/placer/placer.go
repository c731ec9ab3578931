// Package placer chooses the endpoint for each request of a gateway node.
//
// A choice has three steps, each pure: filter the endpoints that may take the
// request, score what is left by the predicted time to the first event, pick the
// least. The reason goes along with the choice.
package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/slowstart"
	"github.com/cherryward/cherryward/internal/throttle"
	"github.com/cherryward/cherryward/internal/weights"
)

// Versions are the versions of weights that the operators want.
type Versions interface {
	// Wanted returns the wanted version of a model and a time at which it was not
	// named yet; 0 where none was named.
	Wanted(model string) (version int64, since time.Time)
	// Replaced returns since when a version may have been replaced, and false for
	// one that is wanted.
	Replaced(model string, version int64) (since time.Time, ok bool)
}

// Placer implements forward.Placer.
type Placer struct {
	Domain   string // failure domain of this node
	Fleet    *fleet.Fleet
	Versions Versions
	Kept     *kept.Index
	// MayName reports whether parts of a version of a model may be named at stores,
	// which are freed some time after the version was replaced.
	MayName func(model string, version int64) bool
	// Peers is what the other nodes tell.
	Peers *peerload.Table
	// Kick has the other nodes told soon of a placement.
	Kick func()
	// Usual is how late first events come that depend on no store.
	Usual *kept.Lateness
	// Whole reports whether Peers tells of all nodes, rather than of those of this
	// failure domain.
	Whole func() bool
	// Closed are the engines that this node has loaded now.
	Closed func() []weights.Closed
	// VersionApply is the operators' bound on new weights.
	VersionApply func() time.Duration
	// Evacuated reports whether the endpoints of a failure domain are to get nothing. Nil means that
	// none is evacuated.
	Evacuated func(domain string) bool
	// SlowStart shares out what cold endpoints may get, and MostCold returns the requests in a second
	// that a cold endpoint of a service may get, 0 where any number. Nil means that cold endpoints
	// get as many as others.
	SlowStart *slowstart.Limiter
	MostCold  func(s *routing.Service) int
	// Throttle shares out what endpoints that name a limit may get. Nil means that they get as many
	// requests as others.
	Throttle *throttle.Limiter
	// Excused returns when this process started, and until when that excuses runs on weights that
	// were replaced before. Nil means that nothing does.
	Excused func() (started, until time.Time)
	// Services is what is learned of engines and prompts.
	Services *Services
	// Nodes returns the number of nodes that place requests.
	Nodes func() int
	// Unheard returns how many other nodes tell of their load what Peers sums up, and how old that
	// is. Nil means that it is never old.
	Unheard func() (nodes int, lag time.Duration)
	// Now and Random are the clock, and a source of numbers from 0 to below 1.
	Now    func() time.Time
	Random func() float64
	// Tuning may be nil for the values of DefaultTuning.
	Tuning *Tuning
}

var _ forward.Placer = (*Placer)(nil)

// allEvacuated is the reason of a refusal where every endpoint's failure domain is evacuated.
const allEvacuated = "evacuated"

// Place implements forward.Placer.
func (p *Placer) Place(q *forward.Query) (forward.Placement, bool) {
	all := p.Fleet.Members(q.Service.Name)
	staying := p.staying(all)
	if len(staying) == 0 && len(all) > 0 {
		return forward.Placement{Reason: allEvacuated}, false
	}
	gate := p.gate(q)
	ready := gate.open(staying)
	if len(ready) == 0 && len(staying) > 0 {
		return gate.decline(staying), false
	}
	candidates := usable(ready, q.Tried, gate.now)
	if len(candidates) == 0 {
		return forward.Placement{}, false
	}
	if q.Service.Engine == nil || q.Attributes.Model == "" {
		return p.placePlain(q, candidates, gate)
	}
	return p.placePrompt(q, candidates, gate)
}

// staying returns the endpoints whose failure domain is not evacuated.
func (p *Placer) staying(members []*fleet.Member) []*fleet.Member {
	return without(members, func(m *fleet.Member) bool { return p.evacuated(m.Endpoint().Domain) })
}

// evacuated reports whether nothing is to be sent to the endpoints of a failure domain.
func (p *Placer) evacuated(domain string) bool { return p.Evacuated != nil && p.Evacuated(domain) }

// without returns the endpoints but for some, without a copy where none is left out. It asks once for
// each.
func without(members []*fleet.Member, drop func(*fleet.Member) bool) []*fleet.Member {
	first := slices.IndexFunc(members, drop)
	if first < 0 {
		return members
	}
	left := append(make([]*fleet.Member, 0, len(members)-1), members[:first]...)
	for _, m := range members[first+1:] {
		if !drop(m) {
			left = append(left, m)
		}
	}
	return left
}

// usable returns the endpoints that were not tried and are not avoided. Where all
// are avoided, none is: a judgement that leaves no endpoint helps nobody.
func usable(members []*fleet.Member, tried []string, now time.Time) []*fleet.Member {
	left := without(members, func(m *fleet.Member) bool { return slices.Contains(tried, m.ID) })
	sound := without(left, func(m *fleet.Member) bool { return !m.Health.Usable(now) })
	if len(sound) > 0 {
		return sound
	}
	return left
}

const (
	// foreignDomain is the cost of another failure domain, in requests under way:
	// a round trip is 2 ms more, and its bytes are priced.
	foreignDomain = 0.5
	// failurePenalty is the cost of a failure rate of 1, in requests under way.
	failurePenalty = 8
	// tieSpread spreads choices between equals.
	tieSpread = 0.2
)

// placePlain picks the endpoint with the fewest requests under way.
func (p *Placer) placePlain(q *forward.Query, candidates []*fleet.Member, gate *gate) (forward.Placement, bool) {
	now := p.Now()
	others := p.Peers.Loads(now)
	best := gate.take(score(candidates, func(m *fleet.Member) float64 {
		seen := others.Of(m.ID, m.Born)
		cost := float64(m.Load.Running()+seen.Running) + failurePenalty*failureRate(m, seen, now) + tieSpread*p.Random()
		if m.Endpoint().Domain != p.Domain {
			cost += foreignDomain
		}
		return cost
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

// failureRate is the share of failed attempts that this node or its peers saw.
func failureRate(m *fleet.Member, others peerload.Sum, now time.Time) float64 {
	return max(m.Health.FailureRate(now), others.FailureRate())
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
	// maxPriority is the least urgent rank that engines know.
	maxPriority = 9
	// routeRanks is the number of ranks that routes have below each rank of client
	// accounts.
	routeRanks = 3
)

// priorityOf returns the rank of a request: its client account's goes before its
// route's, which tells apart the requests of accounts of equal rank.
func priorityOf(q *forward.Query) *int {
	rank := min(max(q.Route.Priority, 0), routeRanks-1)
	if q.Account != nil && q.Account.Priority != nil {
		rank += routeRanks * max(*q.Account.Priority, 0)
	}
	rank = min(rank, maxPriority)
	return &rank
}

// saltOf returns the text under which the request's parts are kept.
func saltOf(q *forward.Query, version int64) string {
	salt := kept.Salt{Model: q.Attributes.Model, Version: version}
	if q.Account != nil && q.Account.Isolated {
		salt.Account = q.Account.Name
	}
	return salt.String()
}

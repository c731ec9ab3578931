package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
)

const (
	// prefillPerMs is the number of prompt tokens that an engine reads in a ms,
	// as the operators state it for the present engines.
	prefillPerMs = 112.0
	// runningMs is what a request under way adds to the time to a first event: it
	// lengthens each step of the batch, and takes memory.
	runningMs = 0.5
	// failureMs is the cost of a failure rate of 1.
	failureMs = 400.0
	// foreignDomainMs is the cost of another failure domain.
	foreignDomainMs = 2.0
	// movedMsPerGB is the cost of moving KV cache, beyond its time: its price
	// against that of a late answer.
	movedMsPerGB = 40.0
	// homeMs is what speaks for a session's home engine, which all nodes derive from
	// the session alone: it spreads prompts that are kept nowhere yet, where nodes
	// that go by load alone would all choose the same engine between two messages.
	homeMs = 50.0
	// spreadMs is the random part of a cost, against the same.
	spreadMs = 10.0
	// roomyShare is the part of an engine's memory that running requests may hold
	// at no cost. Beyond it, requests wait for memory or put others back, whose
	// prompts are then read again.
	roomyShare = 0.6
	// fullMs is the cost of an engine whose memory is full: about the time until a
	// run ends there.
	fullMs = 600.0
	// refuseShare is the part of every engine's memory, held by running requests,
	// from which the least urgent prompts are refused: one more would put another
	// back, whose prompt is then read again, and all would be late.
	refuseShare = 0.95
	// runMs is the mean time of a run, during which it takes one of an engine's slots.
	runMs = 450.0
	// fewestNear is the number of usable engines in this node's failure domain with
	// which a node of a large system does without the others.
	fewestNear = 4
)

// placePrompt picks the engine with the least predicted time to the first event,
// and names where it gets the parts from that it lacks.
func (p *Placer) placePrompt(q *forward.Query, candidates []*fleet.Member) (forward.Placement, bool) {
	rollout := p.rollout(q)
	candidates = rollout.filter(candidates)
	if len(candidates) == 0 {
		return forward.Placement{}, false
	}
	candidates = p.near(candidates)
	s := p.search(q, rollout)
	if p.full(q, candidates, s.others) {
		return forward.Placement{}, false
	}
	best := slices.MinFunc(score(candidates, s.cost), byCost)
	p.Kick()
	return s.placement(best.member), true
}

// near returns the engines whose load this node knows: in a large system those of its
// failure domain, if enough are left there. The others look empty from here, so that a
// domain under load would fill them unseen.
func (p *Placer) near(candidates []*fleet.Member) []*fleet.Member {
	if p.Whole() {
		return candidates
	}
	var near []*fleet.Member
	for _, m := range candidates {
		if m.Endpoint().Domain == p.Domain {
			near = append(near, m)
		}
	}
	if len(near) < fewestNear {
		return candidates
	}
	return near
}

func (s *search) placement(best *fleet.Member) forward.Placement {
	p, q, plan := s.Placer, s.q, s.plan(best)
	placement := forward.Placement{
		Member: best,
		Attempt: forward.Attempt{
			Instance: best.ID,
			Account:  accountName(q),
			Priority: priorityOf(q),
			Version:  plan.version,
			Salt:     plan.salt,
			Sources:  plan.sources,
			Targets:  p.targets(q, plan),
		},
		Reading: plan.reading,
		Cached:  plan.cached,
		Fetched: plan.fetched,
		Holding: holding(q),
		Wait:    time.Duration(plan.waitMs * float64(time.Millisecond)),
		Held:    best.Load.Holding() + s.others[best.ID].Holding,
		Reason:  plan.reason(),
		Began:   s.noteBegin(best),
	}
	if plan.fromStore {
		placement.Attempt.FetchUntil = p.Kept.ClockMS() + FetchLimit.Milliseconds()
	}
	return placement
}

// home returns the engine on which all nodes, in a large system all of a failure
// domain, place a session by preference; nil for a prompt without a session.
func (p *Placer) home(q *forward.Query) *fleet.Member {
	parts := q.Attributes.Parts
	if len(parts) < 2 {
		return nil
	}
	members := p.near(p.Fleet.Members(q.Service.Name))
	nodes := make([]rendezvous.Node, len(members))
	for i, m := range members {
		nodes[i] = rendezvous.Node{ID: m.ID, Weight: 1}
	}
	home, _ := rendezvous.Owner(parts[len(parts)-2].ID, nodes)
	for _, m := range members {
		if m.ID == home {
			return m
		}
	}
	return nil
}

// engineCost is the time, in ms, that a request waits at the engine for others.
func (p *Placer) engineCost(q *forward.Query, m *fleet.Member, others peerload.Sum, now time.Time) float64 {
	running := m.Load.Running() + others.Running
	cost := float64(m.Load.Reading()+others.Reading) / prefillPerMs
	cost += runningMs * float64(running)
	cost += slotCost(m, running)
	cost += memoryCost(q, m.Load.Holding()+others.Holding)
	cost += failureMs * failureRate(m, others, now)
	if m.Endpoint().Domain != p.Domain {
		cost += foreignDomainMs
	}
	return cost
}

// slotCost is the time, in ms, until one of the engine's slots is free.
func slotCost(m *fleet.Member, running int) float64 {
	slots := m.Endpoint().Slots
	if slots <= 0 || running < slots {
		return 0
	}
	return runMs * float64(running+1-slots) / float64(slots)
}

// full reports whether no engine has room for the request, which is one of the
// least urgent.
func (p *Placer) full(q *forward.Query, candidates []*fleet.Member, others map[string]peerload.Sum) bool {
	room := refuseShare * float64(q.Service.Engine.KVTokens)
	if room <= 0 || q.Route.Priority < routeRanks-1 {
		return false
	}
	return !slices.ContainsFunc(candidates, func(m *fleet.Member) bool {
		return float64(m.Load.Holding()+others[m.ID].Holding+holding(q)) < room
	})
}

// memoryCost is what speaks against an engine whose memory is nearly full, in ms.
func memoryCost(q *forward.Query, held int) float64 {
	room := float64(q.Service.Engine.KVTokens)
	if room <= 0 {
		return 0
	}
	share := float64(held+holding(q)) / room
	return fullMs * max(share-roomyShare, 0) / (1 - roomyShare)
}

// holding estimates the tokens that a request holds while it runs: its prompt, and
// half of its answer on average.
func holding(q *forward.Query) int {
	return q.Attributes.PromptTokens + q.Attributes.OutputTokens/2
}

package placer

import (
	"slices"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// prefillPerMs is the number of prompt tokens that an engine reads in a ms,
	// as the operators state it for the present engines.
	prefillPerMs = 112.0
	// runningMs is what a request under way adds to the time to a first event.
	runningMs = 0.6
	// unseenLoad scales this node's own counts up to those of all nodes.
	unseenLoad = 3.0
	// failureMs is the cost of a failure rate of 1.
	failureMs = 400.0
	// foreignDomainMs is the cost of another failure domain.
	foreignDomainMs = 2.0
	// movedMsPerGB is the cost of moving KV cache, beyond its time: its price
	// against that of a late answer.
	movedMsPerGB = 40.0
)

// placePrompt picks the engine with the least predicted time to the first event,
// and names where it gets the parts from that it lacks.
func (p *Placer) placePrompt(q *forward.Query, candidates []*fleet.Member) (forward.Placement, bool) {
	rollout := p.rollout(q)
	candidates = rollout.filter(candidates)
	if len(candidates) == 0 {
		return forward.Placement{}, false
	}
	plans := make(map[string]*plan, len(candidates))
	best := slices.MinFunc(score(candidates, func(m *fleet.Member) float64 {
		version := m.VersionOf(q.Attributes.Model)
		plan := p.plan(q, m, saltOf(q, version), version >= rollout.wanted)
		plans[m.ID] = plan
		return p.engineCost(m) + plan.ms() + rollout.cost(m)
	}), byCost).member
	return p.placement(q, best, plans[best.ID]), true
}

func (p *Placer) placement(q *forward.Query, m *fleet.Member, plan *plan) forward.Placement {
	placement := forward.Placement{
		Member: m,
		Attempt: forward.Attempt{
			Instance: m.ID,
			Account:  accountName(q),
			Priority: priorityOf(q),
			Version:  m.VersionOf(q.Attributes.Model),
			Salt:     plan.salt,
			Sources:  plan.sources,
			Targets:  p.targets(q, plan),
		},
		Reading: plan.reading,
		Reason:  plan.reason(),
	}
	if plan.fromStore {
		placement.Attempt.FetchUntil = p.Kept.ClockMS() + fetchLimit.Milliseconds()
	}
	return placement
}

// engineCost is the time, in ms, that a request waits at the engine for others.
func (p *Placer) engineCost(m *fleet.Member) float64 {
	cost := unseenLoad * float64(m.Load.Reading()) / prefillPerMs
	cost += runningMs * unseenLoad * float64(m.Load.Running())
	cost += failureMs * m.Health.FailureRate()
	if m.Endpoint().Domain != p.Domain {
		cost += foreignDomainMs
	}
	return cost
}

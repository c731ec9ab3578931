package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// homeMs is what speaks for a session's home engine, which all nodes derive from
	// the session alone: it spreads prompts that are kept nowhere yet, where nodes
	// that go by load alone would all choose the same engine between two messages.
	homeMs = 50.0
	// spreadMs is the random part of a cost, against the same.
	spreadMs = 10.0
	// fewestNear is the number of usable engines in this node's failure domain with
	// which a node of a large system does without the others.
	fewestNear = 4
)

// placePrompt picks the engine with the least predicted time to the first event,
// and names where it gets the parts from that it lacks.
func (p *Placer) placePrompt(q *forward.Query, candidates []*fleet.Member, gate *gate) (forward.Placement, bool) {
	rollout := p.rollout(q)
	candidates = rollout.filter(candidates)
	if len(candidates) == 0 {
		return forward.Placement{}, false
	}
	s := p.search(q, rollout)
	open := s.admitting(s.reach(candidates))
	if len(open) == 0 {
		// Others of which load is known may have room: a refused caller comes back late.
		candidates = s.near(candidates)
		open = s.admitting(candidates)
	}
	if len(open) == 0 {
		return s.decline(candidates, noRoom), false
	}
	costs := score(open, s.cost)
	s.addUnseen(costs)
	best := slices.MinFunc(costs, byCost).member
	if s.plan(best).version == 0 && rollout.versioned(best) {
		return forward.Placement{}, false // it refused the version that was believed, just now
	}
	if s.comesTooLate(best) {
		return s.decline([]*fleet.Member{best}, tooLate), false
	}
	if best = gate.take(costs); best == nil {
		return gate.decline(open), false
	}
	s.service.needs.Decided(false)
	s.service.placed.note(s.plan(best).reading, s.now)
	p.Kick()
	return s.placement(best), true
}

// near returns the engines whose load this node knows: in a large system those of its
// failure domain, if enough are left there. The others look empty from here, so that a
// domain under load would fill them unseen.
func (p *Placer) near(candidates []*fleet.Member) []*fleet.Member {
	if p.Whole() {
		return candidates
	}
	count := 0
	for _, m := range candidates {
		if m.Endpoint().Domain == p.Domain {
			count++
		}
	}
	if count < fewestNear {
		return candidates
	}
	near := make([]*fleet.Member, 0, count)
	for _, m := range candidates {
		if m.Endpoint().Domain == p.Domain {
			near = append(near, m)
		}
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
		BeginBy: s.rollout.beginBy(plan.version),
		Wait:    duration(plan.waitMs),
		First:   duration(s.firstMs(best)),
		Held:    s.memory(best).Held,
		Reason:  plan.reason(),
		Began:   s.noteBegin(best),
		Ended:   func(took time.Duration) { s.service.model.Ended(holding(q), took) },
	}
	placement.Failed = func() { p.dropSaves(q, &placement.Attempt) }
	if plan.fromStore {
		placement.Attempt.FetchUntil = s.until - (FetchLimit - s.patience(best)).Milliseconds()
	}
	return placement
}

// home returns the engine on which all nodes of a small system place a session by preference; nil
// for a prompt without a session.
func (p *Placer) home(q *forward.Query) *fleet.Member {
	parts := q.Attributes.Parts
	if len(parts) < 2 || !p.Whole() {
		return nil
	}
	members := p.near(p.staying(p.Fleet.Members(q.Service.Name)))
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

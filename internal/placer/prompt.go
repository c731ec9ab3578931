package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// homeBonusMs is the cost bonus of a session's home engine, which all nodes derive from the
	// session's part and the list of engines. It spreads prompts whose parts no engine or store
	// holds yet: if only load counted, all nodes would choose the same engine between two load
	// reports.
	homeBonusMs = 50.0
	// jitterMs is the maximum random part of a cost, for the same reason.
	jitterMs = 10.0
	// minLocal is the minimum number of usable engines in a failure domain for which a node of a
	// large system there ignores the engines of other domains.
	minLocal = 4
)

// placePrompt selects the engine with the lowest cost, and sets the sources of the parts.
func (p *Placer) placePrompt(q *forward.Query, candidates []*fleet.Member, gate *gate) (forward.Placement, bool) {
	rollout := p.rollout(q)
	candidates = rollout.filter(candidates)
	if len(candidates) == 0 {
		return forward.Placement{}, false
	}
	s := p.selection(q, rollout)
	withRoom, local, spilled := s.findRoom(candidates)
	if len(withRoom) == 0 {
		return s.decline(local, s.lackReason(local)), false
	}
	costs := score(withRoom, s.cost)
	s.addUnreported(costs)
	best := slices.MinFunc(costs, byCost).member
	if s.plan(best).version == 0 && rollout.hasKnownVersions(best) {
		return forward.Placement{}, false // the engine has just refused the version that it was assumed to have
	}
	if s.isTooLate(best) {
		return s.decline([]*fleet.Member{best}, reasonTooLate), false
	}
	if best = gate.takeCheapest(costs); best == nil {
		return gate.decline(withRoom), false
	}
	s.service.demand.RecordDecision(false)
	s.service.demand.RecordArrival(routePriority(q), averageHeldTokens(q), s.now)
	p.countPlacement(q, best, spilled)
	s.service.placed.add(s.plan(best).reading, s.now)
	p.RequestReport()
	placement := s.placement(best)
	placement.SlotState.Spilled = spilled
	return placement, true
}

// localCandidates returns the engines whose load is reported to this node: in a large system those
// of its own failure domain, if enough of them are usable, else those of its region. Engines of other
// domains appear idle to this node, so that a busy domain could overload them without any node there
// detecting it.
func (p *Placer) localCandidates(candidates []*fleet.Member) []*fleet.Member {
	if p.FullMesh() {
		return candidates
	}
	if local := within(candidates, func(domain string) bool { return domain == p.Domain }); len(local) >= minLocal {
		return local
	}
	if region := within(candidates, func(domain string) bool { return p.Regions.SameRegion(domain, p.Domain) }); len(region) >= minLocal {
		return region
	}
	return candidates
}

// within returns the engines in the failure domains for which contains reports true, in a list of
// exactly their number: most engines of a large system are elsewhere.
func within(engines []*fleet.Member, contains func(domain string) bool) []*fleet.Member {
	count := 0
	for _, m := range engines {
		if contains(m.Endpoint().Domain) {
			count++
		}
	}
	list := make([]*fleet.Member, 0, count)
	for _, m := range engines {
		if contains(m.Endpoint().Domain) {
			list = append(list, m)
		}
	}
	return list
}

func (s *selection) placement(best *fleet.Member) forward.Placement {
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
			Targets:  s.saveTargets(plan),
		},
		PrefillTokens:       plan.reading,
		Cached:              plan.cached,
		Fetched:             plan.fetched,
		MemoryTokens:        averageHeldTokens(q),
		BeginBy:             s.rollout.beginBy(plan.version),
		PredictedWait:       duration(plan.waitMs),
		PredictedFirstEvent: duration(s.firstMs(best)),
		OccupiedTokens:      s.memory(best).OccupiedTokens,
		SlotState:           s.slotState(best),
		SlowFactor:          s.pace.factor(best),
		StallMs:             s.stallMs(best),
		Reason:              plan.reason(),
		LoadAge:             s.peerLoads.Age(),
		Noticed:             s.peerLoads.Noticed(best.ID, best.StartedMs),
		RecordFirstEvent:    s.firstEventObserver(best),
		RecordRun:           func(took time.Duration) { s.service.model.RecordRun(averageHeldTokens(q), took) },
	}
	if p.AnnouncePlacement != nil {
		placement.OnSend = func() { p.AnnouncePlacement(best, placement.PrefillTokens, placement.MemoryTokens) }
	}
	if placement.LoadAge > 0 && p.RecordLoadAge != nil {
		p.RecordLoadAge(placement.LoadAge)
	}
	placement.RecordFailure = func() { p.cancelSaves(q, &placement.Attempt) }
	if plan.fromStore {
		placement.Attempt.FetchUntil = s.fetchUntil - (FetchLimit - s.fetchTimeout(best)).Milliseconds()
	}
	return placement
}

// home returns the engine that all nodes of a small system prefer for a session; nil for a prompt
// without a session.
func (p *Placer) home(q *forward.Query) *fleet.Member {
	parts := q.Attributes.Parts
	if len(parts) < 2 || !p.FullMesh() {
		return nil
	}
	members := p.localCandidates(p.notEvacuated(p.inScope(q, p.Fleet.Members(q.Service.Name))))
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

package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// runningMs is the cost of each request in flight at the engine: it lengthens each step of the
	// batch, and takes memory.
	runningMs = 0.5
	// failureMs is the cost of a failure rate of 1.
	failureMs = 400.0
	// crossDomainMs is the cost of using another failure domain of this region, crossRegionMs that of
	// using another region: a round trip takes some tens of ms, and all its traffic shares one link.
	crossDomainMs = 2.0
	crossRegionMs = 60.0
	// connectMs is the cost of opening a connection in addition to the time it takes: a surcharge
	// that weighs it against late answers.
	connectMs = 25.0
	// movedMsPerGB is the cost of moving KV cache in addition to the time it takes: a surcharge
	// that weighs it against late answers.
	movedMsPerGB = 40.0
	// freeOfCostShare is the share of an engine's memory that running requests may occupy without a
	// cost. freeOfCostShareMany is this share where the memory holds many prompts. The rest is a
	// margin for errors of the estimated memory use.
	freeOfCostShare     = 0.6
	freeOfCostShareMany = 0.85
)

// engineCost returns the cost of an engine that does not depend on the prompt's parts, in ms: its
// queue, memory, failure rate and failure domain.
func (s *selection) engineCost(m *fleet.Member) float64 {
	peerLoad := s.peerLoads.At(m.ID, m.StartedMs)
	cost := s.queueMs(m) + s.memoryMs(m) + s.preemptionMs(m)
	cost += failureMs * failureRate(m, peerLoad, s.now)
	return cost + s.distance(m, crossDomainMs, crossRegionMs)
}

// distance returns 0 for an endpoint in this node's failure domain, otherDomain for one elsewhere in
// its region, and otherRegion for one in another region.
func (p *Placer) distance(m *fleet.Member, otherDomain, otherRegion float64) float64 {
	domain := m.Endpoint().Domain
	switch {
	case domain == p.Domain:
		return 0
	case p.Regions.SameRegion(domain, p.Domain):
		return otherDomain
	}
	return otherRegion
}

// queueMs returns the time, in ms, until the engine has read the prompts queued before this one and
// has a free slot.
func (s *selection) queueMs(m *fleet.Member) float64 {
	peerLoad := s.peerLoads.At(m.ID, m.StartedMs)
	running := m.Load.Running() + peerLoad.Running
	return s.readingMs(m, m.Load.PendingPromptTokens()+peerLoad.PendingPromptTokens) + runningMs*float64(running) + s.slotMs(m, running)
}

// slotMs returns the time, in ms, until the engine runs the prompt, because one of its slots is free or
// because it preempts a less urgent run.
func (s *selection) slotMs(m *fleet.Member, running int) float64 {
	if s.slotRule.overtakes {
		running -= s.preemptable(m)
	}
	return s.fullSlotsMs(m, running)
}

// preemptionMs returns the cost, in ms, of an engine without a free slot for an urgent prompt. It preempts a
// run for it: the cost is the time until a slot is free for that run, and the time to read its prompt
// again, in which the runs in all slots pause. Without the latter, most urgent prompts are sent to
// engines without a free slot rather than to those that have one but little memory. An engine with
// nothing to preempt costs as much: the prompt queues there, and delays equally urgent ones.
func (s *selection) preemptionMs(m *fleet.Member) float64 {
	if !s.slotRule.overtakes {
		return 0
	}
	slots := s.slots(m)
	wait := s.fullSlotsMs(m, slots.Running)
	if wait <= 0 {
		return 0
	}
	return wait + float64(slots.Total)*s.readingMs(m, int(s.slotRule.meanTokens))
}

// fullSlotsMs returns the time, in ms, until one of the engine's slots is free.
func (s *selection) fullSlotsMs(m *fleet.Member, running int) float64 {
	slots := s.slots(m).Total
	if slots <= 0 || running < slots {
		return 0
	}
	return s.estimates.RunMs * float64(running+1-slots) / float64(slots)
}

// memoryMs returns the cost, in ms, of an engine whose memory is nearly full. Where the memory
// holds few prompts, the cost of a full engine is about the time until a run ends there. Where it
// holds many prompts, run ends are spread evenly over the duration of a run, and the cost is the
// time until they free as much memory as the estimate may be wrong by. A higher cost would make
// prompts queue at engines with empty memory while others have room and nothing to read.
func (s *selection) memoryMs(m *fleet.Member) float64 {
	memory := s.memory(m)
	if memory.Capacity <= 0 {
		return 0
	}
	share := float64(memory.OccupiedTokens+averageHeldTokens(s.q)) / float64(memory.Capacity)
	if s.holdsMany {
		return s.estimates.RunMs * max(share-freeOfCostShareMany, 0)
	}
	return s.estimates.RunMs * max(share-freeOfCostShare, 0) / (1 - freeOfCostShare)
}

// firstMs returns the predicted time to the first event at an engine, in ms.
func (s *selection) firstMs(m *fleet.Member) float64 {
	plan := s.plan(m)
	return s.queueMs(m) + plan.fetchMs + s.readingMs(m, plan.reading) + s.estimates.FirstMs
}

// readingMs returns the time, in ms, that an engine takes to read the given number of tokens. Both
// factors compare the engine with the others: an engine that is always slow is not charged twice.
func (s *selection) readingMs(m *fleet.Member, tokens int) float64 {
	slowdown := s.service.model.Slowdown(m.ID, s.now)
	if factor := s.pace.factor(m); factor > 1 {
		slowdown = max(slowdown, factor)
	}
	return slowdown * s.estimates.TokenMs * float64(tokens)
}

// averageHeldTokens estimates the average number of tokens that a request holds in memory while it
// runs: its prompt and half of its answer.
func averageHeldTokens(q *forward.Query) int {
	return q.Attributes.PromptTokens + q.Attributes.OutputTokens/2
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

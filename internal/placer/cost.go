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
	// crossDomainMs is the cost of using another failure domain.
	crossDomainMs = 2.0
	// connectMs is the cost of opening a connection in addition to the time it takes: its price
	// relative to that of a late answer.
	connectMs = 25.0
	// movedMsPerGB is the cost of moving KV cache in addition to the time it takes: its price
	// relative to that of a late answer.
	movedMsPerGB = 40.0
	// uncrowdedShare is the part of an engine's memory that running requests may hold at no cost;
	// uncrowdedShareOfMany applies where the memory holds many prompts. The rest is a margin for
	// memory that the estimate may be missing.
	uncrowdedShare       = 0.6
	uncrowdedShareOfMany = 0.85
)

// engineCost returns the cost of an engine that does not depend on the prompt's parts, in ms: its
// queue, memory, failure rate and failure domain.
func (s *search) engineCost(m *fleet.Member) float64 {
	others := s.others.At(m.ID, m.StartedMs)
	cost := s.queueMs(m) + s.memoryMs(m)
	cost += failureMs * failureRate(m, others, s.now)
	if m.Endpoint().Domain != s.Domain {
		cost += crossDomainMs
	}
	return cost
}

// queueMs returns the time, in ms, until the engine has read the prompts queued before this one and
// has a free slot.
func (s *search) queueMs(m *fleet.Member) float64 {
	others := s.others.At(m.ID, m.StartedMs)
	running := m.Load.Running() + others.Running
	return s.readingMs(m, m.Load.PendingPromptTokens()+others.PendingPromptTokens) + runningMs*float64(running) + s.slotMs(m, running)
}

// slotMs returns the time, in ms, until one of the engine's slots is free.
func (s *search) slotMs(m *fleet.Member, running int) float64 {
	slots := m.Endpoint().Slots
	if slots <= 0 || running < slots {
		return 0
	}
	return s.estimates.RunMs * float64(running+1-slots) / float64(slots)
}

// memoryMs returns the cost, in ms, of an engine whose memory is nearly full. For a full engine
// this is about the time until a run ends there. Where memory holds many prompts, run ends are
// spread evenly over the duration of a run, and the cost is the time until they free the memory
// that the engine may hold beyond the estimate. A higher cost would make prompts queue at engines
// with empty memory while others have room and nothing to read.
func (s *search) memoryMs(m *fleet.Member) float64 {
	memory := s.memory(m)
	if memory.Capacity <= 0 {
		return 0
	}
	share := float64(memory.OccupiedTokens+holding(s.q)) / float64(memory.Capacity)
	if s.holdsMany {
		return s.estimates.RunMs * max(share-uncrowdedShareOfMany, 0)
	}
	return s.estimates.RunMs * max(share-uncrowdedShare, 0) / (1 - uncrowdedShare)
}

// firstMs returns the predicted time to the first event at an engine, in ms.
func (s *search) firstMs(m *fleet.Member) float64 {
	plan := s.plan(m)
	return s.queueMs(m) + plan.fetchMs + s.readingMs(m, plan.reading) + s.estimates.FirstMs
}

// readingMs returns the time, in ms, that an engine takes to read the given number of tokens.
func (s *search) readingMs(m *fleet.Member, tokens int) float64 {
	return s.service.model.Slowdown(m.ID, s.now) * s.estimates.TokenMs * float64(tokens)
}

// holding estimates the average number of tokens that a request holds in memory while it runs: its
// prompt and half of its answer.
func holding(q *forward.Query) int {
	return q.Attributes.PromptTokens + q.Attributes.OutputTokens/2
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// runningMs is what a request under way adds to the time to a first event: it
	// lengthens each step of the batch, and takes memory.
	runningMs = 0.5
	// failureMs is the cost of a failure rate of 1.
	failureMs = 400.0
	// foreignDomainMs is the cost of another failure domain.
	foreignDomainMs = 2.0
	// connectMs is the cost of opening a connection, beyond its time: its price against that of a
	// late answer.
	connectMs = 25.0
	// movedMsPerGB is the cost of moving KV cache, beyond its time: its price
	// against that of a late answer.
	movedMsPerGB = 40.0
	// roomyShare is the part of an engine's memory that running requests may hold
	// at no cost, and manyShare the same where it holds many: the rest is what belief may be short of.
	roomyShare = 0.6
	manyShare  = 0.85
)

// engineCost is the time, in ms, that a request waits at the engine for others.
func (s *search) engineCost(m *fleet.Member) float64 {
	others := s.others.Of(m.ID, m.Born)
	cost := s.queueMs(m) + s.memoryMs(m)
	cost += failureMs * failureRate(m, others, s.now)
	if m.Endpoint().Domain != s.Domain {
		cost += foreignDomainMs
	}
	return cost
}

// queueMs is the time, in ms, until the engine has read what others sent it, and has a slot.
func (s *search) queueMs(m *fleet.Member) float64 {
	others := s.others.Of(m.ID, m.Born)
	running := m.Load.Running() + others.Running
	return s.readingMs(m, m.Load.Reading()+others.Reading) + runningMs*float64(running) + s.slotMs(m, running)
}

// slotMs is the time, in ms, until one of the engine's slots is free.
func (s *search) slotMs(m *fleet.Member, running int) float64 {
	slots := m.Endpoint().Slots
	if slots <= 0 || running < slots {
		return 0
	}
	return s.figures.RunMs * float64(running+1-slots) / float64(slots)
}

// memoryMs is what speaks against an engine whose memory is nearly full, in ms: that of a full one is
// about the time until a run ends there. Where memory holds many, runs end evenly spread over the time
// of one, and it is the time until they make room if the engine holds more than is believed: with more,
// prompts would queue for the time of engines that are empty, beside others with room and nothing to read.
func (s *search) memoryMs(m *fleet.Member) float64 {
	memory := s.memory(m)
	if memory.Capacity <= 0 {
		return 0
	}
	share := float64(memory.Held+holding(s.q)) / float64(memory.Capacity)
	if s.many {
		return s.figures.RunMs * max(share-manyShare, 0)
	}
	return s.figures.RunMs * max(share-roomyShare, 0) / (1 - roomyShare)
}

// firstMs is the predicted time to the first event at an engine, in ms.
func (s *search) firstMs(m *fleet.Member) float64 {
	plan := s.plan(m)
	return s.queueMs(m) + plan.fetchMs + s.readingMs(m, plan.reading) + s.figures.FirstMs
}

// readingMs is the time, in ms, that an engine takes to read so many tokens.
func (s *search) readingMs(m *fleet.Member, tokens int) float64 {
	return s.service.model.Slowdown(m.ID, s.now) * s.figures.TokenMs * float64(tokens)
}

// holding estimates the tokens that a request holds while it runs: its prompt, and
// half of its answer on average.
func holding(q *forward.Query) int {
	return q.Attributes.PromptTokens + q.Attributes.OutputTokens/2
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

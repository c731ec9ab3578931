package placer

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/admission"
	"github.com/cherryward/cherryward/internal/enginemodel"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

// Reasons for which no engine can take a prompt now.
const (
	reasonNoRoom  = "no_room"  // no engine has enough free memory
	reasonTooLate = "too_late" // the queue at the engine would delay the first event past most of the time for which the caller waits
)

// lateShare is the share of the time until the caller gives up, or of its deadline, after which a
// predicted first event is too late. The rest is a margin for the error of the prediction.
const lateShare = 0.75

// maxRetryShare bounds the retry delay that a refused caller gets, as a share of the time left
// until its deadline.
const maxRetryShare = 1.0 / 3

// Services holds the engine model, the memory demand and the refusal state of each service, as
// learned by this node. The zero value is ready to use. It is safe for concurrent use.
type Services struct {
	mu     sync.Mutex
	byName map[string]*service
}

// service is the learned state of one service.
type service struct {
	model   *enginemodel.Model
	demand  admission.Demand
	retries admission.RetrySchedule
	placed  placedRate
	slotUse slotUse
}

// forName returns the state of a service, and creates it on first use.
func (s *Services) forName(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.byName[name]; existing != nil {
		return existing
	}
	if s.byName == nil {
		s.byName = make(map[string]*service)
	}
	added := &service{model: enginemodel.New()}
	s.byName[name] = added
	return added
}

// unreportedShare is the share of an engine's memory that a node of a large system leaves free for
// prompts that other nodes placed there since their last load report: an engine of 12 slots gets 8
// prompts per second, and about two of them are unreported at any time. It is not applied where an
// engine's memory holds many prompts: there the unreported prompts are offset by prompts that are
// in transit or only partly read, whose memory is already counted in full.
const unreportedShare = 0.15

// unreportedNoticedShare replaces unreportedShare while nodes announce their prompts. Only those
// placed within the delay of a notice, about 5 of 120 ms, are then unreported.
const unreportedNoticedShare = 0.02

// unreportedMemory returns the share of an engine's memory that is left free for unreported prompts.
func (s *selection) unreportedMemory() float64 {
	switch {
	case s.FullMesh() || s.holdsMany:
		return 0
	case s.NoticesInUse != nil && s.NoticesInUse():
		return unreportedNoticedShare
	}
	return unreportedShare
}

// memory returns the estimated memory use of an engine.
func (s *selection) memory(m *fleet.Member) admission.Memory {
	capacity := s.q.Service.Engine.KVTokens
	capacity -= int(s.unreported * float64(capacity))
	return admission.Memory{
		Capacity:       capacity,
		OccupiedTokens: m.Load.HeldTokens() + s.peerLoads.At(m.ID, m.StartedMs).HeldTokens,
	}
}

// withRoom returns the engines that have enough free memory and, where slots limit placement, a free
// slot for the prompt.
func (s *selection) withRoom(candidates []*fleet.Member) []*fleet.Member {
	fitting := make([]*fleet.Member, 0, len(candidates))
	for _, m := range candidates {
		if s.hasMemory(m) && s.hasSlot(m) {
			fitting = append(fitting, m)
		}
	}
	return fitting
}

// hasMemory reports whether the engine has enough free memory for the prompt.
func (s *selection) hasMemory(m *fleet.Member) bool {
	return s.memory(m).Fits(averageHeldTokens(s.q), s.reserve)
}

// isTooLate reports whether the prompt should be refused because queueing at the engine would delay
// its first event past lateMs. Such a prompt would also delay others. A caller that was refused before
// is served, since callers retry only once.
func (s *selection) isTooLate(m *fleet.Member) bool {
	objective := millis(s.q.Route.Objective)
	if objective <= 0 || s.q.IsRetry() {
		return false
	}
	return s.firstMs(m) > s.lateMs() && s.queueMs(m) > s.tuning().QueueShare*objective
}

// lateMs returns the predicted time to the first event, in ms, from which a prompt is refused as too
// late: lateShare of the time until its caller gives up, or its deadline or the route's timeout passes.
// A refused caller retries a second or more later, so that a refusal at the objective replaces an
// answer that is slightly late by one that is later still, or by none.
//
// Where the configuration states no slots, this refusal may be the only limit on an engine's queue.
// The objective applies there, as longer queues would make nearly all answers late.
func (s *selection) lateMs() float64 {
	if s.q.Service.Engine.Slots <= 0 {
		return millis(s.q.Route.Objective)
	}
	limit := s.q.GiveUpAfter()
	if s.q.Attributes.HasDeadline {
		limit = min(limit, s.q.Attributes.Deadline)
	}
	if timeout := s.q.Route.Timeout; timeout > 0 {
		limit = min(limit, timeout)
	}
	return lateShare * millis(limit)
}

// decline returns why the prompt can't be placed, with the time until one of the engines may have
// room. A waiting prompt is declined at each attempt to place it; only OnRefusal records a refusal
// and assigns a retry time.
func (s *selection) decline(engines []*fleet.Member, reason string) forward.Placement {
	wait, first := s.expectedWait(engines)
	return forward.Placement{Reason: reason, PredictedWait: wait, SlotState: s.slotState(first), OnRefusal: func() time.Duration {
		s.service.demand.RecordDecision(true)
		s.service.demand.RecordArrival(routePriority(s.q), averageHeldTokens(s.q), s.Now())
		capacity := len(engines) * s.promptsPerEngine()
		spacing := duration(s.estimates.RunMs * float64(s.Nodes()) / float64(capacity))
		maxDelay := time.Duration(maxRetryShare * float64(s.q.Attributes.Deadline))
		return s.service.retries.After(s.Now(), wait, spacing, maxDelay)
	}}
}

// promptsPerEngine returns how many prompts like this one an engine runs at the same time, by its memory
// and, where the prompt requires a slot, its slots.
func (s *selection) promptsPerEngine() int {
	engine := s.q.Service.Engine
	count := engine.KVTokens / max(averageHeldTokens(s.q), 1)
	if s.slotRule.requiresSlot {
		count = min(count, engine.Slots)
	}
	return max(count, 1)
}

// expectedWait predicts the time until one of the engines has free memory, a slot and a short enough
// queue for the prompt, and returns that engine.
func (s *selection) expectedWait(engines []*fleet.Member) (shortest time.Duration, first *fleet.Member) {
	for i, m := range engines {
		wait := s.memory(m).Wait(averageHeldTokens(s.q), s.reserve, duration(s.estimates.RunMs))
		wait = max(wait, s.slotWait(m), duration(s.queueMs(m)))
		if i == 0 || wait < shortest {
			shortest, first = wait, m
		}
	}
	return shortest, first
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package placer

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/admission"
	"github.com/cherryward/cherryward/internal/decay"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

// reasonNoSlot is the reason of a refusal because every engine with enough free memory has all slots
// taken.
const reasonNoSlot = "no_slot"

const (
	// slotUseInterval is the time between two samples of the engines' loads, about the age of load
	// reports. Summing the loads of all engines for each prompt would take too long on a small host.
	slotUseInterval = 100 * time.Millisecond
	// slotUseHalfLife is the half-life of the mean size of running requests, about the duration of a
	// run. The present mean alone varies by a tenth and more with the few requests that a small system
	// runs.
	slotUseHalfLife = 2 * time.Second
)

// slotUse is what the loads tell about the engines of a service that this node uses. The zero value
// is ready to use. It is safe for concurrent use.
type slotUse struct {
	mu            sync.Mutex
	at            time.Time  // of the latest sample
	running, held decay.Rate // requests and their tokens, summed over samples
}

// meanTokens returns the mean number of tokens that a running request holds, 0 if none runs. It calls
// sample if the latest sample is too old.
func (u *slotUse) meanTokens(now time.Time, sample func() (running, held int)) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.at.IsZero() || now.Sub(u.at) >= slotUseInterval {
		running, held := sample()
		u.running.Add(float64(running), slotUseHalfLife, now)
		u.held.Add(float64(held), slotUseHalfLife, now)
		u.at = now
	}
	runs := u.running.At(slotUseHalfLife, now)
	if runs <= 0 {
		return 0
	}
	return u.held.At(slotUseHalfLife, now) / runs
}

// slotRule is how the engines' slots limit the placement of one prompt. The zero value does not limit
// it.
//
// It addresses engines whose slots run out before their memory, as with 16 slots and memory for 18 of
// the requests that run: admission by memory then lets up to 25 requests compete for 16 slots, while
// other engines run 9.
type slotRule struct {
	// requiresSlot is true if the prompt is placed only where a slot is free: the prompts of the least
	// urgent of several routes fill the slots that others leave. Where all prompts are equally urgent,
	// they queue at the engines.
	requiresSlot bool
	// overtakes is true if prompts of less urgent routes arrived recently. Engines admit the prompt
	// before these and preempt one of their runs for it, so that it does not wait for a slot. A
	// refusal would serve less urgent prompts before it.
	overtakes bool
	// leastUrgentTokens is the mean size of prompts of the least urgent route.
	leastUrgentTokens float64
	meanTokens        float64 // held in memory by a running request, 0 if none runs
}

// newSlotRule returns the rule for the prompt; none where the configuration states no slots.
func (s *selection) newSlotRule() slotRule {
	if s.q.Service.Engine.Slots <= 0 {
		return slotRule{}
	}
	others := s.service.demand.Others(routePriority(s.q), s.now)
	return slotRule{
		requiresSlot:      others.MoreUrgent && !others.LessUrgent,
		overtakes:         others.LessUrgent,
		leastUrgentTokens: others.LeastUrgentTokens,
		meanTokens:        s.service.slotUse.meanTokens(s.now, s.sampleSlotUse),
	}
}

// sampleSlotUse returns the number of requests that run at the usable engines that this node considers
// first, whatever the prompt, and the tokens that these hold.
func (s *selection) sampleSlotUse() (running, held int) {
	list := s.localCandidates(usable(s.Fleet.Members(s.q.Service.Name), nil, s.now))
	for _, m := range list {
		load := s.peerLoads.At(m.ID, m.StartedMs)
		running += m.Load.Running() + load.Running
		held += m.Load.HeldTokens() + load.HeldTokens
	}
	return running, held
}

// slots returns the estimated use of an engine's slots.
func (s *selection) slots(m *fleet.Member) admission.Slots {
	total := m.Endpoint().Slots
	if total <= 0 {
		total = s.q.Service.Engine.Slots
	}
	return admission.Slots{Total: total, Running: m.Load.Running() + s.peerLoads.At(m.ID, m.StartedMs).Running}
}

// preemptable estimates how many of the requests running at an engine are less urgent than the prompt, so
// that the engine preempts them for it. The loads don't state priorities: the estimate is the number of
// prompts of the least urgent route by which the occupied memory exceeds what as many prompts of this
// size would hold. It is 0 where less urgent prompts are not larger. An engine whose slots are taken by
// short, urgent prompts has none, though it looks empty by its memory.
func (s *selection) preemptable(m *fleet.Member) int {
	own := float64(averageHeldTokens(s.q))
	excess := s.slotRule.leastUrgentTokens - own
	if excess <= 0 {
		return 0
	}
	occupied, running := s.memory(m).OccupiedTokens, s.slots(m).Running
	count := (float64(occupied) - own*float64(running)) / excess
	return int(min(max(count, 0), float64(running)))
}

// hasSlot reports whether the engine has a free slot for the prompt, or the prompt requires none.
func (s *selection) hasSlot(m *fleet.Member) bool {
	if !s.slotRule.requiresSlot {
		return true
	}
	return s.slots(m).Fits(0)
}

// slotWait predicts the time until the engine has a free slot for the prompt.
func (s *selection) slotWait(m *fleet.Member) time.Duration {
	if !s.slotRule.requiresSlot {
		return 0
	}
	return s.slots(m).Wait(0, duration(s.estimates.RunMs))
}

// slotState returns the inputs of the decision for the log.
func (s *selection) slotState(m *fleet.Member) forward.SlotState {
	slots := s.slots(m)
	return forward.SlotState{Running: slots.Running, Slots: slots.Total}
}

// lackReason returns why none of the engines has room for the prompt.
func (s *selection) lackReason(engines []*fleet.Member) string {
	for _, m := range engines {
		if s.hasMemory(m) {
			return reasonNoSlot
		}
	}
	return reasonNoRoom
}

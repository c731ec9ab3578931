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
// taken, or reserved for more urgent prompts.
const reasonNoSlot = "no_slot"

const (
	// slotUseInterval is the time between two samples of the engines' loads, about the age of load
	// reports. Summing the loads of all engines for each prompt would take too long on a small host.
	slotUseInterval = 100 * time.Millisecond
	// slotUseHalfLife is the half-life of the mean size of running requests, about the duration of a
	// run. The present mean alone varies by a tenth and more with the few requests that a small system
	// runs, which would switch the rule on and off.
	slotUseHalfLife = 2 * time.Second
)

// slotUse is what the loads tell about the engines of a service that this node uses. The zero value
// is ready to use. It is safe for concurrent use.
type slotUse struct {
	mu            sync.Mutex
	at            time.Time // of the latest sample
	engines       int
	running, held decay.Rate // requests and their tokens, summed over samples
}

// get returns the number of engines, and the mean number of tokens that a running request holds, 0 if
// none runs. It calls sample if the latest sample is too old.
func (u *slotUse) get(now time.Time, sample func() (engines, running, held int)) (engines int, meanTokens float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.at.IsZero() || now.Sub(u.at) >= slotUseInterval {
		var running, held int
		u.engines, running, held = sample()
		u.running.Add(float64(running), slotUseHalfLife, now)
		u.held.Add(float64(held), slotUseHalfLife, now)
		u.at = now
	}
	if runs := u.running.At(slotUseHalfLife, now); runs > 0 {
		meanTokens = u.held.At(slotUseHalfLife, now) / runs
	}
	return u.engines, meanTokens
}

// slotRule is how the engines' slots limit the placement of one prompt. The zero value does not limit
// it.
//
// It addresses engines whose slots run out before their memory, as with 16 slots and memory for 18 of
// the requests that run: admission by memory then lets up to 25 requests compete for 16 slots, while
// other engines run 9.
type slotRule struct {
	isOn bool // a prompt requires a free slot
	// mostUrgent is true if no more urgent prompts arrived recently. Such a prompt is placed where no
	// slot is free, too: a refusal would serve less urgent prompts before it.
	mostUrgent bool
	// overtakes is true if, in addition, less urgent prompts arrived recently. Engines then admit the
	// prompt before others and preempt one of these for it, so that it does not wait for a slot.
	overtakes  bool
	meanTokens float64 // held in memory by a running request, 0 if none runs
	// urgentPerSecond is the rate of more urgent prompts at each engine.
	urgentPerSecond float64
	// extra is added to the reserve of a caller that was refused before, which competes only for what
	// first tries leave.
	extra int
}

// newSlotRule returns the rule for the prompt. The rule is off where the configuration states no
// slots, and where the engines' memory holds fewer requests than there are slots: admission by memory
// then suffices.
//
// The size of a request is the mean over the requests that run, as reported. It weighs each by the
// time for which it holds memory, reflects what the engines admitted rather than what was asked for,
// and is the same at all nodes of a failure domain. The mean over arriving prompts would count a
// classification of 60 ms as much as a summary of 2 s.
func (s *selection) newSlotRule() (r slotRule) {
	engine := s.q.Service.Engine
	if engine.Slots <= 0 {
		return slotRule{}
	}
	engines, meanTokens := s.service.slotUse.get(s.now, s.sampleSlotUse)
	others := s.service.demand.Others(*priorityOf(s.q), s.now)
	r.isOn = engine.KVTokens <= 0 || float64(engine.Slots)*meanTokens <= float64(engine.KVTokens)
	r.meanTokens = meanTokens
	r.mostUrgent = !others.MoreUrgent
	r.overtakes = r.mostUrgent && others.LessUrgent
	r.urgentPerSecond = others.UrgentPerSecond * float64(s.nodesOfEngines()) / float64(max(engines, 1))
	if s.q.IsRetry() && !r.mostUrgent {
		r.extra = 1
	}
	return r
}

// nodesOfEngines returns the number of nodes that use the same engines as this one: those of its
// failure domain in a large system, else all.
func (p *Placer) nodesOfEngines() int {
	if p.FullMesh() || p.ReportLag == nil {
		return p.Nodes()
	}
	others, _ := p.ReportLag()
	return others + 1
}

// sampleSlotUse returns the number of usable engines that this node considers first, whatever the
// prompt, with the requests running there and the tokens that these hold.
func (s *selection) sampleSlotUse() (engines, running, held int) {
	list := s.localCandidates(usable(s.Fleet.Members(s.q.Service.Name), nil, s.now))
	for _, m := range list {
		load := s.peerLoads.At(m.ID, m.StartedMs)
		running += m.Load.Running() + load.Running
		held += m.Load.HeldTokens() + load.HeldTokens
	}
	return len(list), running, held
}

// slots returns the estimated use of an engine's slots.
func (s *selection) slots(m *fleet.Member) admission.Slots {
	total := m.Endpoint().Slots
	if total <= 0 {
		total = s.q.Service.Engine.Slots
	}
	return admission.Slots{Total: total, Running: m.Load.Running() + s.peerLoads.At(m.ID, m.StartedMs).Running}
}

// slotReserve returns the number of an engine's slots that the prompt must leave free.
func (s *selection) slotReserve(slots admission.Slots) int {
	return admission.SlotReserve(s.slotRule.urgentPerSecond, duration(s.estimates.RunMs), slots.Total) + s.slotRule.extra
}

// requiresSlot reports whether the prompt is placed only where a slot is free.
func (s *selection) requiresSlot() bool { return s.slotRule.isOn && !s.slotRule.mostUrgent }

// hasSlot reports whether the engine has a free slot for the prompt, or the prompt requires none.
func (s *selection) hasSlot(m *fleet.Member) bool {
	if !s.requiresSlot() {
		return true
	}
	slots := s.slots(m)
	return slots.Fits(s.slotReserve(slots))
}

// slotWait predicts the time until the engine has a free slot for the prompt.
func (s *selection) slotWait(m *fleet.Member) time.Duration {
	if !s.requiresSlot() {
		return 0
	}
	slots := s.slots(m)
	return slots.Wait(s.slotReserve(slots), duration(s.estimates.RunMs))
}

// slotState returns the inputs of the decision for the log.
func (s *selection) slotState(m *fleet.Member) forward.SlotState {
	slots := s.slots(m)
	state := forward.SlotState{Running: slots.Running, Slots: slots.Total}
	if s.requiresSlot() {
		state.Reserve = s.slotReserve(slots)
	}
	return state
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

package placer

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/admission"
	"github.com/cherryward/cherryward/internal/enginemodel"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

// Reasons for which no engine takes a prompt now.
const (
	noRoom  = "no_room"  // every engine's memory is held by runs
	tooLate = "too_late" // the first event would come after the objective, for others' sake
)

// honoured is the part of a caller's time left for which it comes back later at most.
const honoured = 1.0 / 3

// Services holds what a node learns of each service's engines and prompts. Its zero value is
// ready for use, by several goroutines at once.
type Services struct {
	mu     sync.Mutex
	byName map[string]*service
}

// service is what is learned of one service.
type service struct {
	model   *enginemodel.Model
	needs   admission.Needs
	returns admission.Returns
	placed  placed
}

func (s *Services) of(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.byName[name]; known != nil {
		return known
	}
	if s.byName == nil {
		s.byName = make(map[string]*service)
	}
	added := &service{model: enginemodel.New()}
	s.byName[name] = added
	return added
}

// unseenShare is the part of an engine's memory that nodes of a large system leave to what the others
// have placed there since they told: an engine of 12 slots gets 8 prompts a second, of which
// two are not told yet. Where memory holds many, those balance what is believed to be held by
// prompts that are on their way or only half read.
const unseenShare = 0.15

// memory returns what is believed of an engine's memory.
func (s *search) memory(m *fleet.Member) admission.Memory {
	capacity := s.q.Service.Engine.KVTokens
	if !s.Whole() && !s.many {
		capacity -= int(unseenShare * float64(capacity))
	}
	return admission.Memory{
		Capacity: capacity,
		Held:     m.Load.Holding() + s.others.Of(m.ID, m.Born).Holding,
	}
}

// admitting returns the engines whose memory has room for the prompt.
func (s *search) admitting(candidates []*fleet.Member) []*fleet.Member {
	need := holding(s.q)
	open := make([]*fleet.Member, 0, len(candidates))
	for _, m := range candidates {
		if s.memory(m).Fits(need, s.reserve) {
			open = append(open, m)
		}
	}
	return open
}

// comesTooLate reports whether the first event would come too late to be worth its caller's
// while, for want of time at the engine: it would make others late, too. A caller that was
// refused before is served, since it doesn't come back once more.
func (s *search) comesTooLate(m *fleet.Member) bool {
	objective := millis(s.q.Route.Objective)
	if objective <= 0 || s.q.Returned() {
		return false
	}
	return s.firstMs(m) > objective && s.queueMs(m) > s.tuning().QueueShare*objective
}

// decline returns why the prompt has no place, with the time until one of the engines may
// have one. The refusal is noted, and given a time of its own to come back, only when it is
// made: a prompt that waits is declined at every look.
func (s *search) decline(engines []*fleet.Member, reason string) forward.Placement {
	wait := s.waitAt(engines)
	return forward.Placement{Reason: reason, Wait: wait, Refuse: func() time.Duration {
		s.service.needs.Decided(true)
		places := len(engines) * max(s.q.Service.Engine.KVTokens/max(holding(s.q), 1), 1)
		spacing := duration(s.figures.RunMs * float64(s.Nodes()) / float64(places))
		most := time.Duration(honoured * float64(s.q.Attributes.Deadline))
		return s.service.returns.After(s.Now(), wait, spacing, most)
	}}
}

// waitAt predicts the time until one of the engines has room and time for the prompt.
func (s *search) waitAt(engines []*fleet.Member) time.Duration {
	var least time.Duration
	for i, m := range engines {
		wait := s.memory(m).Wait(holding(s.q), s.reserve, duration(s.figures.RunMs))
		wait = max(wait, duration(s.queueMs(m)))
		if i == 0 || wait < least {
			least = wait
		}
	}
	return least
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

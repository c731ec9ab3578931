package placer

import (
	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/peerload"
)

// stalledStreamMs is the cost of each stream that would pause for too long because of prefill: about
// a fifth of the longest pause that callers accept. A pause makes a whole answer late, so a prompt
// should rather wait elsewhere.
const stalledStreamMs = 100.0

// pace is what is known of the pace of a service's engines during one selection. The zero value is
// that of a service whose engines are not observed: no engine is slow, and nothing is charged.
type pace struct {
	tracker  *enginepace.Tracker
	own      []enginepace.Verdict // by this node's observation
	reported peerload.SlowEngines // by other nodes
}

// currentPace returns what is known of the pace of the engines of the query's service.
func (s *selection) currentPace() pace {
	if s.Pace == nil || !s.q.Service.ObservesPace() {
		return pace{}
	}
	tracker := s.Pace.ForName(s.q.Service.Name)
	tracker.SetTokenMs(s.estimates.TokenMs)
	return pace{tracker: tracker, own: tracker.Slow(s.now), reported: s.PeerLoads.Slow(s.now)}
}

// factor returns how many times slower than usual an engine is now, by the observation of this node
// or others, whichever is greater.
func (p *pace) factor(m *fleet.Member) float64 {
	return max(p.reported.Factor(m.ID, m.StartedMs), enginepace.FactorOf(p.own, enginepace.Engine{ID: m.ID, StartedMs: m.StartedMs}))
}

// stallMs returns the cost, in ms, of the streams at an engine that would pause for longer than
// callers accept if the prompt was prefilled there after the pending ones. It depends on what is
// prefilled between two events, so it is 0 for an engine without streams, however much it has to
// prefill.
//
// Where engines turn slow at times, prefill that would stall the streams of a slow engine costs
// accordingly less at an engine that is not slow now: a spell that begins in the meantime is noticed
// too late, so long prompts are kept apart beforehand.
func (s *selection) stallMs(m *fleet.Member) float64 {
	if s.pace.tracker == nil {
		return 0
	}
	peerLoad := s.peerLoads.At(m.ID, m.StartedMs)
	running := m.Load.Running() + peerLoad.Running
	tokens := m.Load.PendingPromptTokens() + peerLoad.PendingPromptTokens + s.plan(m).reading
	stall := s.pace.tracker.StallAt(running)
	if stall.MaxTokens > 0 {
		tokens = min(tokens, int(stall.MaxTokens))
	}
	factor, limit := max(s.pace.factor(m), 1), millis(s.q.Service.GapObjective)
	pause := s.readingMs(m, tokens) + factor*stall.SpacingMs
	switch {
	case pause > limit:
		return stalledStreamMs * float64(running)
	case factor <= 1 && stall.SpellFactor*pause > limit:
		return stall.SpellShare * stalledStreamMs * float64(running)
	}
	return 0
}

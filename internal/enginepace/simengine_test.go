package enginepace

import (
	"slices"
	"time"
)

// simRun is one request.
type simRun struct {
	node, tokens, left int // tokens are those to prefill, left those of them not yet read
	made, output       int
	stream             *Stream
	due                []time.Time // of events on their way to the node
	closed             bool
}

type simEngine struct {
	id                             Engine
	loads                          []*simLoad  // by node
	reports                        [][]simLoad // by node, the load after each tick, latest last
	prefill                        []*simRun
	runs                           []*simRun // that decode, or whose events are on their way
	stepEnd                        time.Time
	nextDue                        time.Time // when the next event arrives; zero if none is on its way
	inStep                         []*simRun // prefilled in the current step, with the tokens in chunks
	chunks                         []int
	slowUntil                      time.Time
	nextLong, nextShort, nextSpell time.Time
	spells                         []time.Time // starts of slow spells
}

// after returns the time of the next of several random occurrences; never if there are none.
func (s *sim) after(perSecond float64) time.Time {
	if perSecond <= 0 {
		return s.now.Add(time.Hour)
	}
	return s.now.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
}

func (s *sim) arrivals(e *simEngine) {
	if !s.now.Before(e.nextLong) {
		e.nextLong = s.after(s.longPerSecond)
		tokens := 2870
		if s.random.Float64() < 0.4 {
			tokens = 11_992
		}
		s.begin(e, tokens)
	}
	if !s.now.Before(e.nextShort) {
		e.nextShort = s.after(s.shortPerSecond)
		s.begin(e, 177)
	}
	if !s.now.Before(e.nextSpell) {
		e.slowUntil = s.now.Add(spell)
		e.spells = append(e.spells, s.now)
		e.nextSpell = s.after(s.spellsPerSecond()).Add(spell)
	}
}

// spellsPerSecond returns the rate of slow spells while an engine is not slow.
func (s *sim) spellsPerSecond() float64 { return s.slowShare / (1 - s.slowShare) / spell.Seconds() }

// next returns the time at which something happens at the engine.
func (e *simEngine) next() time.Time {
	next := e.nextLong
	for _, t := range [...]time.Time{e.nextShort, e.nextSpell, e.nextDue, e.stepEnd} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

func (s *sim) begin(e *simEngine, tokens int) {
	r := &simRun{node: s.random.IntN(s.nodes), tokens: tokens, left: tokens, output: s.outputTokens}
	e.loads[r.node].running++
	e.loads[r.node].pending += tokens
	e.prefill = append(e.prefill, r)
}

// factor returns how many times slower the engine is now.
func (s *sim) factor(e *simEngine) float64 {
	if s.now.Before(e.slowUntil) {
		return s.slowFactor
	}
	return 1
}

// advance ends a step of the engine and begins the next one.
func (s *sim) advance(e *simEngine) {
	if s.now.Before(e.stepEnd) {
		return
	}
	for _, r := range e.runs {
		if r.made < r.output {
			if r.made++; r.made%s.stride == 0 || r.made == r.output {
				s.send(e, r)
			}
		}
	}
	for i, r := range e.inStep {
		if r.left -= e.chunks[i]; r.left == 0 {
			e.prefill = slices.DeleteFunc(e.prefill, func(o *simRun) bool { return o == r })
			e.runs = append(e.runs, r)
			r.made = 1
			s.send(e, r)
		}
	}
	e.inStep, e.chunks = nil, nil
	budget := s.chunk
	for _, r := range e.prefill {
		if tokens := min(r.left, budget); tokens > 0 {
			e.inStep, e.chunks = append(e.inStep, r), append(e.chunks, tokens)
			budget -= tokens
		}
	}
	decoding := 0
	for _, r := range e.runs {
		if r.made < r.output {
			decoding++
		}
	}
	if decoding == 0 && budget == s.chunk {
		e.stepEnd = time.Time{} // idle
		return
	}
	ms := s.stepMs + s.runMs*float64(max(decoding-1, 0)) + float64(s.chunk-budget)/s.prefillPerMs
	e.stepEnd = s.now.Add(time.Duration(ms * s.factor(e) * float64(time.Millisecond)))
}

// send puts an event on its way. Events of a stream stay in order.
func (s *sim) send(e *simEngine, r *simRun) {
	delay := s.random.Float64() * s.jitterMs
	if s.random.Float64() < s.lossShare {
		delay += s.lossMs
	}
	due := s.now.Add(time.Duration(delay * float64(time.Millisecond)))
	if r.node == 0 && s.slowNodeLinkMs > 0 && s.now.Sub(simStart) > 5*time.Second {
		// Delays of a full link are common to all streams of the node. The queue grows in the first half
		// of each second and is sent in the second half.
		phase := (s.now.Sub(simStart) % time.Second).Seconds()
		due = due.Add(time.Duration(s.slowNodeLinkMs * min(2*phase, 2-2*phase) * float64(time.Millisecond)))
	}
	if len(r.due) > 0 && due.Before(r.due[len(r.due)-1]) {
		due = r.due[len(r.due)-1]
	}
	r.due = append(r.due, due)
	if e.nextDue.IsZero() || due.Before(e.nextDue) {
		e.nextDue = due
	}
}

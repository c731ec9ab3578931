package enginepace

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// outcome is the result of a simulation, from warmUp on.
type outcome struct {
	spells, found int
	delays        []time.Duration // from the start of a spell until a node found it
	overdue       []time.Duration // from the end of a found spell until no node had a verdict
	falseVerdicts int             // at engines that were not slow
	falseShare    float64         // of the time of all engines
}

const warmUp = 3 * time.Second

// simulate runs a simulation and observes the verdicts of all nodes.
func simulate(c simConfig, d time.Duration) (s *sim, o outcome) {
	type spellState struct {
		from, ended time.Time
		found       bool
	}
	s = newSim(c)
	states := make(map[*simEngine]*spellState)
	falseSteps, steps := 0, 0
	s.run(d, func() {
		if s.now.Sub(simStart) < warmUp {
			return
		}
		for _, e := range s.list {
			steps++
			slow, found := s.factor(e) > 1, s.slowNow(e.id) > 1
			if found && !slow {
				falseSteps++
			}
			state := states[e]
			if slow && (state == nil || !state.ended.IsZero()) {
				state = &spellState{from: s.now}
				states[e] = state
				o.spells++
			}
			switch {
			case state == nil:
			case slow && found && !state.found:
				state.found = true
				o.found++
				o.delays = append(o.delays, s.now.Sub(state.from))
			case !slow && state.ended.IsZero():
				state.ended = s.now
			case !slow && !found && state.found:
				o.overdue = append(o.overdue, s.now.Sub(state.ended))
				state.found = false
			}
		}
	})
	o.falseShare = float64(falseSteps) / float64(steps)
	for _, e := range s.list {
		for _, at := range s.verdicts[e.id] {
			if at.Sub(simStart) >= warmUp && !e.slowAround(at) {
				o.falseVerdicts++
			}
		}
	}
	return s, o
}

// slowAround reports whether the engine was slow at a time or shortly before.
func (e *simEngine) slowAround(at time.Time) bool {
	const delivery = 200 * time.Millisecond // of the last late events
	for _, start := range e.spells {
		if !at.Before(start) && at.Before(start.Add(spell+delivery)) {
			return true
		}
	}
	return false
}

// quantile returns the duration below which the given share of the list lies.
func quantile(list []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(share*float64(len(sorted)-1))]
}

// TestSlowSpells guards against slow spells that are found too late to matter or not at all, and
// against verdicts that outlast them, on the load and the spells of the second deployment.
func TestSlowSpells(t *testing.T) {
	for seed := range uint64(2) {
		c := secondDeployment(seed)
		c.slowShare = 0.15
		_, o := simulate(c, 25*time.Second)
		t.Logf("seed %d: %d of %d spells found, median after %v, nine tenths within %v; verdicts end after %v, at most %v",
			seed, o.found, o.spells, quantile(o.delays, 0.5), quantile(o.delays, 0.9), quantile(o.overdue, 0.5), quantile(o.overdue, 1))
		test.Greater(t, 40, o.spells)
		test.GreaterEq(t, 0.8*float64(o.spells), float64(o.found))
		test.LessEq(t, 200*time.Millisecond, quantile(o.delays, 0.5))
		test.LessEq(t, VerdictLifetime, quantile(o.overdue, 0.9))
		// The last late events arrive one gap after the end of the spell.
		test.LessEq(t, VerdictLifetime+200*time.Millisecond, quantile(o.overdue, 1))
		test.Zero(t, o.falseVerdicts)
	}
}

// TestOneSlowEngine guards against an engine that is found late although streams of several nodes are
// there and nothing else could explain their pace, and against verdicts on other engines.
func TestOneSlowEngine(t *testing.T) {
	c := secondDeployment(1)
	c.longPerSecond = 0
	s := newSim(c)
	s.run(warmUp, nil)
	slow := s.list[0]
	for round := range 10 {
		start := s.now
		var found, ended time.Duration
		slow.slowUntil = start.Add(spell)
		s.run(2*spell+500*time.Millisecond, func() {
			elapsed, verdict := s.now.Sub(start), s.slowNow(slow.id) > 1
			switch {
			case found == 0 && verdict:
				found = elapsed
			case found > 0 && verdict:
				ended = elapsed
			}
		})
		t.Logf("round %d: found after %v, until %v after the spell", round, found, ended-spell)
		test.Between(t, 50*time.Millisecond, found, 200*time.Millisecond)
		test.LessEq(t, VerdictLifetime, ended-spell)
	}
	for _, e := range s.list[1:] {
		test.SliceEmpty(t, s.verdicts[e.id])
	}
}

// TestNoFalseVerdicts guards against engines that are called slow because they prefill long prompts,
// also of other nodes that report late, because the network delays or loses packets, because their
// batch is large, or because the node itself is stopped.
func TestNoFalseVerdicts(t *testing.T) {
	tests := map[string]func(*simConfig){
		"usual load":                    func(*simConfig) {},
		"many long prompts":             func(c *simConfig) { c.longPerSecond = 4 },
		"many long prompts, late loads": func(c *simConfig) { c.longPerSecond, c.reportLag = 4, 112*time.Millisecond },
		"jitter":                        func(c *simConfig) { c.jitterMs = 25 },
		"lost packets":                  func(c *simConfig) { c.lossShare, c.lossMs = 0.0005, 220 },
		"stopped node":                  func(c *simConfig) { c.nodeStallMs = 80 },
		"large batches":                 func(c *simConfig) { c.runMs, c.shortPerSecond = 0.3, 3 },
		"one token in an event":         func(c *simConfig) { c.stride, c.jitterMs = 1, 8 },
	}
	for name, change := range tests {
		for seed := range uint64(2) {
			c := secondDeployment(seed)
			change(&c)
			_, o := simulate(c, 10*time.Second)
			test.Zero(t, o.falseVerdicts, test.Sprintf("%s, seed %d: %.4f of the time", name, seed, o.falseShare))
		}
	}
}

// TestFullLink guards against a node that calls most engines slow because its own link is full.
func TestFullLink(t *testing.T) {
	const seeds = 4
	sum := 0.0
	for seed := range uint64(seeds) {
		c := secondDeployment(seed)
		c.slowNodeLinkMs = 400
		_, o := simulate(c, 15*time.Second)
		sum += o.falseShare
	}
	t.Logf("%.4f of the time of all engines", sum/seeds)
	test.LessEq(t, 0.02, sum/seeds)
}

// TestStallLimit guards against a wrong estimate of what an engine prefills between two events: too
// low a bound makes engines that prefill look slow, and a wrong usual value charges stalls wrongly.
func TestStallLimit(t *testing.T) {
	c := secondDeployment(1)
	c.longPerSecond = 3
	s, _ := simulate(c, 40*time.Second)
	most := float64(c.stride * c.chunk)
	for _, tracker := range s.trackers {
		test.InDelta(t, most, tracker.StallAt(30).MaxTokens, 0.1*most)
		test.GreaterEq(t, most, tracker.stalls.most)
	}
}

package enginemodel

import (
	"sync"
	"time"
)

const (
	// priorPerMs is the number of prompt tokens that an engine is taken to read in a ms
	// before outcomes tell: between those of a small and of a large accelerator.
	priorPerMs = 60.0
	// priorFirstMs is the time from when a prompt is read until its first event, before
	// outcomes tell.
	priorFirstMs = 40.0
	// priorRunMs is the time that a run takes, before outcomes tell.
	priorRunMs = 500.0
	// slowdownFade is the time after which the slowdown of one engine counts for nothing: an
	// engine that is avoided has no outcomes, and may be sound again.
	slowdownFade = 10 * time.Second
	// slowest and quickest bound how far an engine's slowdown may be from that of all: beyond
	// them it is disturbed, which its failures tell better.
	slowest, quickest = 4.0, 0.4
	// tellingMs is the shortest predicted time to a first event that tells of an engine's
	// slowdown: below it the network and the time between two steps prevail.
	tellingMs = 60.0
)

// Model is what is known of the engines of one service. It is safe for concurrent use.
type Model struct {
	mu        sync.Mutex
	reading   line
	run       Median // ms
	slowdowns map[string]*slowdown
}

// slowdown is how much longer one engine takes than all do, as a factor.
type slowdown struct {
	factor Median
	at     time.Time // of the newest outcome
}

// New returns a model of which nothing is learned yet.
func New() *Model {
	return &Model{
		reading:   line{perToken: 1 / priorPerMs, fixed: priorFirstMs},
		run:       NewMedian(priorRunMs),
		slowdowns: make(map[string]*slowdown),
	}
}

// Figures are what the model predicts with.
type Figures struct {
	TokenMs float64 // to read one prompt token
	FirstMs float64 // from when a prompt is read until its first event
	RunMs   float64 // for which a token of a run is held, from the send to the end
}

// Figures returns the present estimates for all engines together.
func (m *Model) Figures() Figures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Figures{TokenMs: m.reading.perToken, FirstMs: m.reading.fixed, RunMs: m.run.Value()}
}

// Began notes the first event of a prompt: tokens is what the engine had to read until
// then, of this and of earlier prompts, after the time since the send without what the
// prompt's transfers took.
func (m *Model) Began(engine string, tokens int, after time.Duration, now time.Time) {
	ms := float64(after) / float64(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	predicted := m.reading.fixed + m.reading.perToken*float64(tokens)
	if predicted >= tellingMs {
		m.noteSlowdown(engine, ms/predicted, now)
	}
	m.reading.add(point{tokens: float64(tokens), ms: ms})
}

func (m *Model) noteSlowdown(engine string, factor float64, now time.Time) {
	p := m.slowdowns[engine]
	if p == nil || now.Sub(p.at) > slowdownFade {
		m.forget(now)
		p = &slowdown{factor: NewMedian(1)}
		m.slowdowns[engine] = p
	}
	p.at = now
	p.factor.Add(min(max(factor, quickest), slowest), 1)
}

// forget drops engines without outcomes, some of which are gone.
func (m *Model) forget(now time.Time) {
	for id, p := range m.slowdowns {
		if now.Sub(p.at) > slowdownFade {
			delete(m.slowdowns, id)
		}
	}
}

// Ended notes how long a run took, from its send to its end, and the tokens that it held in
// the engine's memory.
func (m *Model) Ended(held int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.run.Add(float64(took)/float64(time.Millisecond), float64(held))
}

// fewestSlowdowns is the number of outcomes of an engine that tell its slowdown.
const fewestSlowdowns = 5

// Slowdown returns how much longer an engine takes to a first event than all do, as a factor;
// 1 where nothing is known.
func (m *Model) Slowdown(engine string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.slowdowns[engine]
	if p == nil || p.factor.Outcomes() < fewestSlowdowns || now.Sub(p.at) > slowdownFade {
		return 1
	}
	return p.factor.Value()
}

package enginemodel

import (
	"sync"
	"time"
)

const (
	// priorPerMs is the prior for the number of prompt tokens that an engine reads per ms: between
	// those of a small and of a large accelerator.
	priorPerMs = 60.0
	// priorFirstMs is the prior for the time from when a prompt is read until its first event.
	priorFirstMs = 40.0
	// priorRunMs is the prior for the duration of a run.
	priorRunMs = 500.0
	// slowdownTTL is the age after which the slowdown of an engine is discarded: an engine that is
	// avoided yields no samples, and may have recovered.
	slowdownTTL = 10 * time.Second
	// maxSlowdown and minSlowdown bound the slowdown factor of an engine. Larger deviations are
	// caused by faults, which the failure rate covers better.
	maxSlowdown, minSlowdown = 4.0, 0.4
	// minPredictedMs is the minimum predicted time to a first event for a slowdown sample: below
	// it, network delays and the time between two steps dominate.
	minPredictedMs = 60.0
)

// Model estimates the speed of the engines of one service. It is safe for concurrent use.
type Model struct {
	mu        sync.Mutex
	reading   line
	run       Median // duration of a run in ms, weighted by the memory it holds
	slowdowns map[string]*slowdown
}

// slowdown is how much longer one engine takes than the average engine, as a factor.
type slowdown struct {
	factor Median
	at     time.Time // of the newest sample
}

// New returns a model that holds only the priors.
func New() *Model {
	return &Model{
		reading:   line{perToken: 1 / priorPerMs, fixed: priorFirstMs},
		run:       NewMedian(priorRunMs),
		slowdowns: make(map[string]*slowdown),
	}
}

// Estimates are the parameters from which response times are predicted.
type Estimates struct {
	TokenMs float64 // time to read one prompt token
	FirstMs float64 // time from when a prompt is read until its first event
	RunMs   float64 // duration of a run from sending the prompt to the end, weighted by the memory it holds
}

// Estimates returns the current estimates over all engines.
func (m *Model) Estimates() Estimates {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Estimates{TokenMs: m.reading.perToken, FirstMs: m.reading.fixed, RunMs: m.run.Value()}
}

// RecordFirstEvent records the first event of a prompt. tokens is the number of tokens that the
// engine had to read until then, including those of earlier prompts. after is the time since the
// prompt was sent, without the time of its transfers.
func (m *Model) RecordFirstEvent(engine string, tokens int, after time.Duration, now time.Time) {
	ms := float64(after) / float64(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	predicted := m.reading.fixed + m.reading.perToken*float64(tokens)
	if predicted >= minPredictedMs {
		m.recordSlowdown(engine, ms/predicted, now)
	}
	m.reading.add(point{tokens: float64(tokens), ms: ms})
}

func (m *Model) recordSlowdown(engine string, factor float64, now time.Time) {
	s := m.slowdowns[engine]
	if s == nil || now.Sub(s.at) > slowdownTTL {
		m.evictStale(now)
		s = &slowdown{factor: NewMedian(1)}
		m.slowdowns[engine] = s
	}
	s.at = now
	s.factor.Add(min(max(factor, minSlowdown), maxSlowdown), 1)
}

// evictStale removes engines without recent samples, some of which no longer exist.
func (m *Model) evictStale(now time.Time) {
	for id, s := range m.slowdowns {
		if now.Sub(s.at) > slowdownTTL {
			delete(m.slowdowns, id)
		}
	}
}

// RecordRun records the duration of a run, from sending the prompt to the end, and the tokens that
// it held in the engine's memory.
func (m *Model) RecordRun(held int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.run.Add(float64(took)/float64(time.Millisecond), float64(held))
}

// minSlowdownSamples is the number of samples required for the slowdown of an engine.
const minSlowdownSamples = 5

// Slowdown returns how much longer an engine takes to the first event than the average engine, as a
// factor; 1 if unknown.
func (m *Model) Slowdown(engine string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slowdowns[engine]
	if s == nil || s.factor.Samples() < minSlowdownSamples || now.Sub(s.at) > slowdownTTL {
		return 1
	}
	return s.factor.Value()
}

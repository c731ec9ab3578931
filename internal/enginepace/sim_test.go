package enginepace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simConfig describes a simulation of engines with streams of several nodes.
type simConfig struct {
	seed           uint64
	nodes, engines int
	stride         int     // tokens in an event
	stepMs, runMs  float64 // of a step with one run, and for each further one
	prefillPerMs   float64
	chunk          int
	longPerSecond  float64 // long prompts per engine and second, of 2,870 or 11,992 tokens
	shortPerSecond float64 // short prompts per engine and second, of 177 tokens
	outputTokens   int     // of each prompt
	slowShare      float64 // share of time in which an engine is slow, in spells of spell
	slowFactor     float64
	jitterMs       float64       // maximum random delay of an event
	lossShare      float64       // share of events delayed by lossMs, as by a retransmission
	lossMs         float64       //
	reportLag      time.Duration // age of the loads that nodes report
	nodeStallMs    float64       // each node stops this long in every 100 ms
	slowNodeLinkMs float64       // events to node 0 are delayed by up to this in common, from second 5 on
}

// spell is the duration of a slow spell.
const spell = 600 * time.Millisecond

// secondDeployment is the load of the second deployment of the design page, per engine.
func secondDeployment(seed uint64) simConfig {
	return simConfig{
		seed: seed, nodes: 6, engines: 12, stride: 8, stepMs: 3.09, runMs: 0.1, prefillPerMs: 61.8, chunk: 2048,
		longPerSecond: 1.75, shortPerSecond: 5.5, outputTokens: 290, slowFactor: 2.5, jitterMs: 4, reportLag: 45 * time.Millisecond,
	}
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simLoad is the load of one node at one engine.
type simLoad struct{ running, pending int }

func (l *simLoad) Running() int             { return l.running }
func (l *simLoad) PendingPromptTokens() int { return l.pending }

// sim is a simulation of engines, streams and trackers.
type sim struct {
	simConfig
	random   *rand.Rand
	now      time.Time
	trackers []*Tracker // by node
	list     []*simEngine
	// verdicts holds the time at which a node found an engine slow, by engine.
	verdicts map[Engine][]time.Time
	tickDue  time.Time
	ticks    int
	lags     [][]int // age of the reports at a node of another one, in ticks
}

func newSim(c simConfig) *sim {
	s := &sim{simConfig: c, random: rand.New(rand.NewPCG(c.seed, 7)), now: simStart, verdicts: make(map[Engine][]time.Time)}
	for range c.nodes {
		t := NewTracker()
		t.SetTokenMs(1 / c.prefillPerMs)
		t.OnVerdict = func(e Engine, _ float64) { s.verdicts[e] = append(s.verdicts[e], s.now) }
		s.trackers = append(s.trackers, t)
	}
	for range c.nodes {
		lags := make([]int, c.nodes)
		for i := range lags {
			lags[i] = 1 + int(float64(c.reportLag)/float64(TickInterval)*(0.5+s.random.Float64()))
		}
		s.lags = append(s.lags, lags)
	}
	for i := range c.engines {
		e := &simEngine{id: Engine{ID: fmt.Sprint("e", i), StartedMs: 1}, reports: make([][]simLoad, c.nodes)}
		for range c.nodes {
			e.loads = append(e.loads, &simLoad{})
		}
		e.nextLong, e.nextShort, e.nextSpell = s.after(c.longPerSecond), s.after(c.shortPerSecond), s.after(s.spellsPerSecond())
		s.list = append(s.list, e)
	}
	return s
}

const (
	simStep = 500 * time.Microsecond
	// observeInterval is the time between two observations of a simulation.
	observeInterval = 2500 * time.Microsecond
)

// run simulates for d, calling each every observeInterval.
func (s *sim) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		for _, e := range s.list {
			if s.now.Before(e.next()) {
				continue
			}
			s.arrivals(e)
			s.advance(e)
			s.deliver(e)
		}
		if !s.now.Before(s.tickDue) && !s.stopped() {
			s.tick()
			s.tickDue = s.now.Add(TickInterval)
		}
		if each != nil && s.now.Sub(simStart)%observeInterval == 0 {
			each()
		}
	}
}

// stopped reports whether a node is stopped now.
func (s *sim) stopped() bool {
	return float64(s.now.Sub(simStart)%(100*time.Millisecond))/1e6 < s.nodeStallMs
}

// deliver delivers the events that have arrived, those of one stream in one read.
func (s *sim) deliver(e *simEngine) {
	if e.nextDue.IsZero() || s.now.Before(e.nextDue) || s.stopped() {
		return
	}
	e.nextDue = time.Time{}
	for _, r := range e.runs {
		count := 0
		for count < len(r.due) && !s.now.Before(r.due[count]) {
			count++
		}
		r.due = r.due[count:]
		if len(r.due) > 0 && (e.nextDue.IsZero() || r.due[0].Before(e.nextDue)) {
			e.nextDue = r.due[0]
		}
		if count == 0 {
			continue
		}
		load := e.loads[r.node]
		if r.stream == nil {
			load.pending -= r.tokens
			r.stream = s.trackers[r.node].Open(e.id, load, s.now)
		} else {
			r.stream.Observe(count, s.now)
		}
		r.stream.Wait(s.now)
		if r.made == r.output && len(r.due) == 0 {
			r.stream.Close()
			load.running--
			r.closed = true
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *simRun) bool { return r.closed })
}

// tick calls the trackers with the loads that other nodes reported reportLag ago.
func (s *sim) tick() {
	byID := make(map[Engine]*simEngine, len(s.list))
	for _, e := range s.list {
		byID[e.id] = e
		for node, l := range e.loads {
			e.reports[node] = append(e.reports[node], *l)
		}
	}
	s.ticks++
	for node, t := range s.trackers {
		if s.ticks%loadsEvery != 0 {
			t.Tick(s.now, nil, s.reportLag)
			continue
		}
		t.Tick(s.now, func(id Engine) (pending, running int) {
			e := byID[id]
			for other := range s.trackers {
				back := s.lags[node][other]
				if reports := e.reports[other]; other != node && len(reports) >= back {
					pending += reports[len(reports)-back].pending
					running += reports[len(reports)-back].running
				}
			}
			return pending, running
		}, s.reportLag)
	}
}

// slowNow returns the largest factor that a node has for an engine.
func (s *sim) slowNow(id Engine) float64 {
	factor := 1.0
	for _, t := range s.trackers {
		factor = max(factor, FactorOf(t.Slow(s.now), id))
	}
	return factor
}

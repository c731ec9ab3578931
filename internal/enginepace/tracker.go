package enginepace

import (
	"slices"
	"sync"
	"time"
)

const (
	// VerdictLifetime is how long a verdict lasts after the last sign of slowness: the duration of a
	// slow spell.
	VerdictLifetime = 600 * time.Millisecond
	// MaxFactor bounds the factor by which an engine counts as slow. Larger ones are caused by
	// faults, which the failure rate of the engine covers.
	MaxFactor = 4.0
)

// Engine identifies one start of an engine.
type Engine struct {
	ID        string
	StartedMs int64 // in Unix milliseconds, 0 if unknown
}

// Load is this node's load at an engine.
type Load interface {
	Running() int
	PendingPromptTokens() int
}

// Tracker judges the pace of the engines of one service. It is safe for concurrent use.
type Tracker struct {
	// OnVerdict, if not nil, is called when an engine turns slow. It must not block and not call the
	// tracker.
	OnVerdict func(e Engine, factor float64)

	mu        sync.Mutex
	tokenMs   float64       // time to prefill one token
	reportLag time.Duration // age of the loads that other nodes report
	usual     usualSpacing
	stalls    stallLimit
	spells    spells
	host      hostStalls
	common    float64   // how much slower than usual most engines are now; see compare
	ratios    []float64 // reused by compare
	engines   map[Engine]*engine
}

// engine is the state of one engine.
type engine struct {
	id      Engine
	load    Load
	streams []*Stream

	peerPending, peerRunning int
	ownPending               int // as of the last update
	ownChanges               int // number of changes of ownPending
	arrived                  int // prompt tokens that became pending so far

	factor       float64 // of the latest verdict
	signAt       time.Time
	ratio        float64   // of the latest events to their explanation
	ratioAt      time.Time // zero if there were none
	normalGroups int       // consecutive normal groups of events since the last sign
}

// NewTracker returns a tracker without observations, which yields no verdicts until it knows the
// usual spacing.
func NewTracker() *Tracker { return &Tracker{common: 1, engines: make(map[Engine]*engine)} }

// SetTokenMs sets the time, in ms, that an engine takes to prefill one prompt token.
func (t *Tracker) SetTokenMs(ms float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokenMs = ms
}

// Open begins to observe a stream at its first event. load is this node's load at the engine.
func (t *Tracker) Open(id Engine, load Load, now time.Time) *Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[id]
	if e == nil {
		e = &engine{id: id, load: load, ownPending: load.PendingPromptTokens()}
		t.engines[id] = e
	}
	e.update()
	s := &Stream{tracker: t, engine: e, writing: true}
	s.last = s.mark(now)
	s.group = s.last
	e.streams = append(e.streams, s)
	return s
}

// Tick must be called every TickInterval. It takes over what the other nodes report of the loads of
// engines, unless peers is nil, and the age of these reports, and judges silent streams.
func (t *Tracker) Tick(now time.Time, peers func(Engine) (pendingTokens, running int), reportLag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host.tick(now)
	t.reportLag = reportLag
	for id, e := range t.engines {
		if len(e.streams) == 0 && !e.slow(now) {
			delete(t.engines, id)
			continue
		}
		if peers != nil {
			pending, running := peers(id)
			e.arrived += max(pending-e.peerPending, 0)
			e.peerPending, e.peerRunning = pending, running
		}
		e.update()
	}
	t.compare(now)
	for _, e := range t.engines {
		t.judgeGroups(e, now)
		t.judgeSilence(e, now)
	}
	t.recordSpells(now)
}

// recordSpells records how many of the engines with streams are slow now.
func (t *Tracker) recordSpells(now time.Time) {
	slow, observed, factors := 0, 0, 0.0
	for _, e := range t.engines {
		if len(e.streams) == 0 {
			continue
		}
		observed++
		if e.slow(now) {
			slow++
			factors += e.factor
		}
	}
	t.spells.record(slow, observed, factors)
}

// Active reports whether streams are observed or verdicts are in force.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.engines) > 0
}

// Verdict is an engine that is slow now.
type Verdict struct {
	Engine Engine
	Factor float64
	Age    time.Duration // since the last sign
}

// FactorOf returns how many times slower than usual an engine is by a list of verdicts; 1 if it isn't.
func FactorOf(list []Verdict, e Engine) float64 {
	for i := range list {
		if list[i].Engine == e {
			return list[i].Factor
		}
	}
	return 1
}

// Slow returns the engines that are slow now, in no particular order.
func (t *Tracker) Slow(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Verdict
	for id, e := range t.engines {
		if e.slow(now) {
			list = append(list, Verdict{Engine: id, Factor: e.factor, Age: max(now.Sub(e.signAt), 0)})
		}
	}
	return list
}

// Stall is what is known of the pauses of streams at an engine.
type Stall struct {
	SpacingMs float64 // usual time between two events
	// MaxTokens is the most prompt tokens that an engine usually prefills between two events; 0 if
	// unknown.
	MaxTokens float64
	// SpellShare is the share of the time for which an engine is expected to be slow, and SpellFactor
	// how many times slower it is then; 0 and 1 if no slow spells are expected.
	SpellShare, SpellFactor float64
}

// StallAt returns what is known of the pauses at an engine with the given number of runs.
func (t *Tracker) StallAt(running int) Stall {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, factor := t.spells.expected()
	return Stall{SpacingMs: t.usual.at(running), MaxTokens: t.stalls.usual, SpellShare: share, SpellFactor: factor}
}

// slow reports whether a verdict on the engine is in force.
func (e *engine) slow(now time.Time) bool {
	return e.factor > 1 && now.Sub(e.signAt) <= VerdictLifetime
}

// update takes over this node's own load.
func (e *engine) update() {
	pending := e.load.PendingPromptTokens()
	if pending != e.ownPending {
		e.ownChanges++
	}
	e.arrived += max(pending-e.ownPending, 0)
	e.ownPending = pending
}

// pending returns the prompt tokens that are known to be pending.
func (e *engine) pending() int { return e.ownPending + e.peerPending }

// running returns the number of requests that are known to run.
func (e *engine) running() int { return e.load.Running() + e.peerRunning }

// remove removes a stream that has ended.
func (e *engine) remove(s *Stream) {
	if i := slices.Index(e.streams, s); i >= 0 {
		e.streams = slices.Delete(e.streams, i, i+1)
	}
}

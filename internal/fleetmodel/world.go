package fleetmodel

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
)

const (
	model     = "model"
	service   = "engines"
	storeAddr = "10.1.0.1:1"
	domain    = "north"
	// defaultTokenBytes is the size of the KV cache for a token, that of a model with 120 billion
	// parameters.
	defaultTokenBytes = 18_432
	linkMbps          = 100_000
)

// Config describes a simulated fleet and its load.
type Config struct {
	Seed    uint64
	Engines []EngineConfig
	// StoreTokens is the capacity of the store; 0 for no store.
	StoreTokens int
	Classes     []Class
	Faults      []Fault
	Length      time.Duration // period of virtual time in which callers arrive
	// EventDelay is the delay of the cache events of engines and the store.
	EventDelay time.Duration
	// StatedMemory is the memory that the configuration states for each engine, in tokens; 0 for
	// none, which disables refusals for lack of memory.
	StatedMemory int
	// Tuning replaces the placer's tuning, and MaxWaitShare the fraction of its objective for
	// which a request may wait for capacity. Nil keeps the defaults.
	Tuning       *placer.Tuning
	MaxWaitShare *float64

	// Nodes is the number of nodes that place requests, and Domains the number of failure domains
	// over which nodes and engines are spread; 0 counts as 1.
	Nodes, Domains int
	// ReportAge is the largest age of the loads that a node knows of the other nodes of its failure
	// domain, or of all nodes of a small system. RemoteReportAge is the additional age of those of
	// other failure domains; with 0 they are unknown. With a ReportAge of 0, all nodes know all
	// loads at once, as a single node does.
	ReportAge, RemoteReportAge time.Duration
	Notices                    Notices
	Swing                      Swing
	SlowSpells                 SlowSpells
	// StatedSlots is the number of slots that the configuration of the service states for each
	// engine; 0 for none.
	StatedSlots int
	// TokenBytes is the size of the KV cache for a token; 0 for the default.
	TokenBytes int
	// PreemptForSlots lets a request that finds all slots of its engine taken preempt the newest of
	// the least urgent runs there, if that is less urgent.
	PreemptForSlots bool
}

// World is the state of a simulation.
type World struct {
	Config
	Result Result

	now         time.Time
	start       time.Time
	random      *rand.Rand
	events      eventQueue
	order       int64
	nodes       []*node
	domains     []*failureDomain
	open        int        // callers whose request has not ended
	nodeDraw    *rand.Rand // draws the node of a caller
	spellDraw   *rand.Rand // draws slow spells
	lossDraw    *rand.Rand // draws lost notices
	engines     map[string]*engine
	byAddr      map[string]*engine
	index       *kvindex.Index
	store       *kvindex.Holder
	stored      map[kvindex.Part]int
	storeRoom   int
	storeEvents int64                 // number of the store's newest event
	prefilled   map[kvindex.Part]bool // by some engine
	service     *routing.Service
}

// versions implements placer.Versions for a single version of the weights.
type versions struct{}

func (versions) Wanted(string) (int64, time.Time)         { return 1, time.Time{} }
func (versions) Replaced(string, int64) (time.Time, bool) { return time.Time{}, false }

// New returns a simulation that has not run yet.
func New(c Config) *World {
	start := time.Now()
	w := &World{
		Config: c, now: start, start: start, random: rand.New(rand.NewPCG(c.Seed, 1)),
		nodeDraw: rand.New(rand.NewPCG(c.Seed, 2)), spellDraw: rand.New(rand.NewPCG(c.Seed, 3)), lossDraw: rand.New(rand.NewPCG(c.Seed, 4)),
		engines: make(map[string]*engine), byAddr: make(map[string]*engine), stored: make(map[kvindex.Part]int), storeRoom: c.StoreTokens, prefilled: make(map[kvindex.Part]bool),
		index:   kvindex.NewIndex(nil, nil, zerolog.Nop()),
		store:   kvindex.NewHolder(storeAddr, storeAddr, domain),
		service: &routing.Service{Name: service, Engine: &routing.Engine{Slots: c.StatedSlots, KVTokens: c.StatedMemory, TokenBytes: cmp.Or(c.TokenBytes, defaultTokenBytes)}},
	}
	w.store.Mbps, w.store.Tokens = linkMbps, c.StoreTokens
	w.addDomains()
	w.addEngines()
	w.addNodes()
	// The gap marks the store as one that has been running for a long time, whose oldest events
	// have been discarded.
	w.index.Apply(w.store, &kvindex.Events{Epoch: 1, Next: 1, Gap: true, ClockMS: 1, ConfirmedAt: w.now})
	// The index has read the real clock for the time from which the store accepts parts. Virtual time
	// begins after it, as the first placements would otherwise depend on how long New took.
	w.now = time.Now()
	w.start = w.now
	return w
}

// addEngines creates the engines.
func (w *World) addEngines() {
	var holders []*kvindex.Holder
	for i, c := range w.Engines {
		id, addr := engineID(i), engineAddr(i)
		h := kvindex.NewHolder(id, addr, w.domains[i%len(w.domains)].name)
		h.Mbps = linkMbps
		holders = append(holders, h)
		e := &engine{EngineConfig: c, world: w, holder: h, cache: make(map[kvindex.Part]cached)}
		w.engines[id], w.byAddr[addr] = e, e
	}
	w.index.Replace(holders, []*kvindex.Holder{w.store})
}

// Simulate simulates the whole load and returns the result.
func (w *World) Simulate() *Result {
	for i := range w.Classes {
		w.scheduleClass(&w.Classes[i])
	}
	w.scheduleFaults()
	w.scheduleReports()
	w.scheduleSamples()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return &w.Result
}

// elapsed returns the virtual time since the start.
func (w *World) elapsed() time.Duration { return w.now.Sub(w.start) }

// after schedules run after a delay.
func (w *World) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, run: run})
}

// publishChange applies a change of a cache to the node's index after the event delay.
func (w *World) publishChange(h *kvindex.Holder, c kvindex.Change) {
	w.after(w.EventDelay, func() {
		w.index.Apply(h, &kvindex.Events{Epoch: 1, Next: c.Number + 1, Changes: []kvindex.Change{c}, ClockMS: 1, ConfirmedAt: w.now})
	})
}

// confirmStore confirms the store's current state to the index, as the node's requests for its
// events do several times a second.
func (w *World) confirmStore() {
	w.index.Apply(w.store, &kvindex.Events{Epoch: 1, Next: w.store.Position().Next, ClockMS: 1, ConfirmedAt: w.now})
}

// holds reports whether the store or engine at an address has a part.
func (w *World) holds(addr string, key kvindex.Part) bool {
	if addr == storeAddr {
		return w.stored[key] > 0
	}
	e := w.byAddr[addr]
	return e != nil && e.cache[key].tokens > 0
}

// save stores a part if addr is the store's and it has room.
func (w *World) save(addr string, key kvindex.Part, tokens int) {
	if addr != storeAddr || w.stored[key] > 0 || tokens > w.storeRoom {
		return
	}
	w.stored[key] = tokens
	w.storeRoom -= tokens
	w.storeEvents++
	w.publishChange(w.store, kvindex.Change{Number: w.storeEvents, Part: key, Tokens: tokens})
}

// countPrefill counts the prefill of a shared part by an engine.
func (w *World) countPrefill(key kvindex.Part, tokens int) {
	if w.prefilled[key] {
		w.Result.RecomputedTokens += tokens
	}
	w.prefilled[key] = true
}

// event is a function scheduled for a point in virtual time.
type event struct {
	at    time.Time
	order int64 // order among events of the same time
	run   func()
}

// eventQueue is a heap of events with the earliest first.
type eventQueue []event

var _ heap.Interface = (*eventQueue)(nil)

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

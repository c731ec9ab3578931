package fleetmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	model     = "model"
	service   = "engines"
	storeAddr = "10.1.0.1:1"
	domain    = "north"
	// tokenBytes is the size of the KV cache for a token, that of a model with 120 billion
	// parameters.
	tokenBytes = 18_432
	linkMbps   = 100_000
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
	engines     map[string]*engine
	index       *kvindex.Index
	store       *kvindex.Holder
	stored      map[kvindex.Part]int
	storeRoom   int
	storeEvents int64                 // number of the store's newest event
	prefilled   map[kvindex.Part]bool // by some engine
	placer      *placer.Placer
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
		engines: make(map[string]*engine), stored: make(map[kvindex.Part]int), storeRoom: c.StoreTokens, prefilled: make(map[kvindex.Part]bool),
		index:   kvindex.NewIndex(nil, nil, zerolog.Nop()),
		store:   kvindex.NewHolder(storeAddr, storeAddr, domain),
		service: &routing.Service{Name: service, Engine: &routing.Engine{KVTokens: c.StatedMemory, TokenBytes: tokenBytes}},
	}
	w.store.Mbps, w.store.Tokens = linkMbps, c.StoreTokens
	w.placer = w.newPlacer(w.addEngines())
	// The gap marks the store as one that has been running for a long time, whose oldest events
	// have been discarded.
	w.index.Apply(w.store, &kvindex.Events{Epoch: 1, Next: 1, Gap: true, ClockMS: 1, ConfirmedAt: w.now})
	// The index has read the real clock for the time from which the store accepts parts. Virtual time
	// begins after it, as the first placements would otherwise depend on how long New took.
	w.now = time.Now()
	w.start = w.now
	return w
}

func (w *World) addEngines() *fleet.Fleet {
	f := fleet.New(zerolog.Nop())
	var holders []*kvindex.Holder
	for i, c := range w.Engines {
		id, addr := engineID(i), fmt.Sprintf("10.0.0.%d:1", i+1)
		f.Update(&fleet.Endpoint{ID: id, Service: service, Addr: addr, Domain: domain, Slots: c.Slots, Weights: []fleet.Weights{{Model: model, Version: 1}}}, w.now)
		h := kvindex.NewHolder(id, addr, domain)
		h.Mbps = linkMbps
		holders = append(holders, h)
		w.engines[id] = &engine{EngineConfig: c, world: w, holder: h, cache: make(map[kvindex.Part]cached)}
	}
	for _, m := range f.Members(service) {
		w.engines[m.ID].member = m
	}
	w.index.Replace(holders, []*kvindex.Holder{w.store})
	return f
}

func engineID(i int) string { return fmt.Sprintf("e%02d", i) }

func (w *World) newPlacer(f *fleet.Fleet) *placer.Placer {
	return &placer.Placer{
		Domain: domain, Fleet: f, Versions: versions{}, KVIndex: w.index, PeerLoads: peerload.NewTable(), RequestReport: func() {},
		CommonDelay: &kvindex.Lateness{}, FullMesh: func() bool { return true }, MayReference: func(kvindex.Salt) bool { return true },
		Closed:            func() []weights.Closed { return nil },
		VersionApplyLimit: func() time.Duration { return time.Minute },
		Services:          &placer.Services{}, Nodes: func() int { return 1 },
		Now: func() time.Time { return w.now }, Random: w.random.Float64, Tuning: w.Tuning,
	}
}

// Simulate simulates the whole load and returns the result.
func (w *World) Simulate() *Result {
	for i := range w.Classes {
		w.scheduleClass(&w.Classes[i])
	}
	w.scheduleFaults()
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
	for _, e := range w.engines {
		if e.holder.Addr == addr {
			return e.cache[key].tokens > 0
		}
	}
	return false
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

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
	// tokenBytes is the size of KV cache for a token, as that of a model of 120 billion
	// parameters.
	tokenBytes = 18_432
	linkMbps   = 100_000
)

// Config describes a fleet and its load.
type Config struct {
	Seed    uint64
	Engines []EngineConfig
	// StoreTokens is what the store has room for.
	StoreTokens int
	Classes     []Class
	Faults      []Fault
	Length      time.Duration // for which callers come
	// EventsLate is how late nodes hear of what engines and the store keep.
	EventsLate time.Duration
	// Told is the memory that the configuration states for each engine; 0 where it states
	// none, so that nothing is refused for want of room.
	Told int
	// Tuning and MaxWaitShare replace what nodes decide by: the shares of the placer, and the part
	// of its objective for which a prompt waits for room. Nil keeps them.
	Tuning       *placer.Tuning
	MaxWaitShare *float64
}

// World plays a fleet and its load.
type World struct {
	Config
	Result Result

	now     time.Time
	start   time.Time
	random  *rand.Rand
	events  eventQueue
	order   int64
	engines map[string]*engine
	index   *kvindex.Index
	store   *kvindex.Holder
	stored  map[kvindex.Part]int
	room    int
	told    int64                 // number of the store's newest event
	read    map[kvindex.Part]bool // by some engine
	placer  *placer.Placer
	service *routing.Service
}

// versions has one version of the weights.
type versions struct{}

func (versions) Wanted(string) (int64, time.Time)         { return 1, time.Time{} }
func (versions) Replaced(string, int64) (time.Time, bool) { return time.Time{}, false }

// New returns a world before its first caller.
func New(c Config) *World {
	start := time.Now()
	w := &World{
		Config: c, now: start, start: start, random: rand.New(rand.NewPCG(c.Seed, 1)),
		engines: make(map[string]*engine), stored: make(map[kvindex.Part]int), room: c.StoreTokens, read: make(map[kvindex.Part]bool),
		index:   kvindex.NewIndex(nil, nil, zerolog.Nop()),
		store:   kvindex.NewHolder(storeAddr, storeAddr, domain),
		service: &routing.Service{Name: service, Engine: &routing.Engine{KVTokens: c.Told, TokenBytes: tokenBytes}},
	}
	w.store.Mbps, w.store.Tokens = linkMbps, c.StoreTokens
	w.placer = w.newPlacer(w.addEngines())
	// It has been up for long, as its oldest events are gone.
	w.index.Apply(w.store, &kvindex.Events{Epoch: 1, Next: 1, Gap: true, ClockMS: 1, ConfirmedAt: w.now})
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
		Domain: domain, Fleet: f, Versions: versions{}, Kept: w.index, Peers: peerload.NewTable(), RequestReport: func() {},
		CommonDelay: &kvindex.Lateness{}, FullMesh: func() bool { return true }, MayReference: func(string, int64) bool { return true },
		Closed:            func() []weights.Closed { return nil },
		VersionApplyLimit: func() time.Duration { return time.Minute },
		Services:          &placer.Services{}, Nodes: func() int { return 1 },
		Now: func() time.Time { return w.now }, Random: w.random.Float64, Tuning: w.Tuning,
	}
}

// Play has all callers come, and returns what became of them.
func (w *World) Play() *Result {
	for i := range w.Classes {
		w.schedule(&w.Classes[i])
	}
	w.scheduleFaults()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return &w.Result
}

// elapsed returns the time since the start.
func (w *World) elapsed() time.Duration { return w.now.Sub(w.start) }

// after has something happen later.
func (w *World) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, run: run})
}

// tell has nodes hear of a change.
func (w *World) tell(h *kvindex.Holder, c kvindex.Change) {
	w.after(w.EventsLate, func() {
		w.index.Apply(h, &kvindex.Events{Epoch: 1, Next: c.Number + 1, Changes: []kvindex.Change{c}, ClockMS: 1, ConfirmedAt: w.now})
	})
}

// proveStore has the node know that the store is still the one that it heard of, as its questions for
// events do several times a second.
func (w *World) proveStore() {
	w.index.Apply(w.store, &kvindex.Events{Epoch: 1, Next: w.store.Position().Next, ClockMS: 1, ConfirmedAt: w.now})
}

// holds reports whether the store or another engine keeps a part.
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

// save keeps a part at the store, if that is named and has room.
func (w *World) save(addr string, key kvindex.Part, tokens int) {
	if addr != storeAddr || w.stored[key] > 0 || tokens > w.room {
		return
	}
	w.stored[key] = tokens
	w.room -= tokens
	w.told++
	w.tell(w.store, kvindex.Change{Number: w.told, Part: key, Tokens: tokens})
}

// countRead notes that an engine reads a shared part.
func (w *World) countRead(key kvindex.Part, tokens int) {
	if w.read[key] {
		w.Result.ReadAgain += tokens
	}
	w.read[key] = true
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int64 // among those of the same time
	run   func()
}

// eventQueue is a heap of events, the earliest first.
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

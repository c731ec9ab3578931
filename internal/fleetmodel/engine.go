package fleetmodel

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/kvindex"
)

// EngineConfig describes one engine.
type EngineConfig struct {
	Memory      int     // tokens
	Slots       int     // runs in a batch
	ReadPerMs   float64 // prompt tokens
	StepMs      float64 // of a batch of one
	RunStepMs   float64 // that each further run adds to a step
	ChunkTokens int     // read in one step at most
}

// run is a request at an engine.
type run struct {
	call    *call
	unread  int // prompt tokens
	left    int // tokens of the answer
	tokens  int // in memory
	started bool
}

// cached is a part in an engine's memory.
type cached struct {
	tokens int
	used   time.Duration // when
}

// engine is an engine in virtual time.
type engine struct {
	EngineConfig
	world   *World
	member  *fleet.Member
	holder  *kvindex.Holder
	waiting []*run // most urgent first
	running []*run // oldest first
	cache   map[kvindex.Part]cached
	events  int64   // numbers given
	busy    bool    // a step is under way
	slow    float64 // by which steps take longer; 0 for 1
	down    bool
	crashes int
}

// send takes a request. The parts that it named at the store are there without reading.
func (e *engine) send(c *call) {
	if e.down {
		c.failed()
		return
	}
	e.enqueue(&run{call: c, left: c.request.Output})
	e.step()
}

func (e *engine) enqueue(r *run) {
	at := slices.IndexFunc(e.waiting, func(w *run) bool { return w.call.rank > r.call.rank })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, r)
}

// held returns the tokens of running requests.
func (e *engine) held() int {
	sum := 0
	for _, r := range e.running {
		sum += r.tokens
	}
	return sum
}

// admit starts waiting requests while there are slots and memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		r := e.waiting[0]
		need := r.call.request.prompt() + r.call.request.Output - r.left
		if e.held()+need > e.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		r.tokens = need
		r.unread = need - e.found(r.call)
		e.running = append(e.running, r)
		e.evict()
	}
}

// found returns the tokens that need no reading: a prefix of shared parts that are cached here
// or come from the store. What is read again was read by some engine before.
func (e *engine) found(c *call) int {
	found := 0
	for i, part := range c.request.Shared {
		key := c.key(i)
		here := e.cache[key].tokens > 0
		named := i < len(c.placement.Attempt.Sources) && c.placement.Attempt.Sources[i] != ""
		if !here && !(named && e.world.holds(c.placement.Attempt.Sources[i], key)) {
			for j := range c.request.Shared[i:] {
				e.world.countRead(c.key(i+j), c.request.Shared[i+j].Tokens)
			}
			return found
		}
		found += part.Tokens
		e.keep(key, part.Tokens)
	}
	return found
}

// keep notes a part as cached and used now.
func (e *engine) keep(key kvindex.Part, tokens int) {
	if e.cache[key].tokens == 0 {
		e.tell(key, tokens)
	}
	e.cache[key] = cached{tokens: tokens, used: e.world.elapsed()}
}

// evict drops the parts used least recently until all fits.
func (e *engine) evict() {
	used := e.held()
	for _, c := range e.cache {
		used += c.tokens
	}
	for used > e.Memory && len(e.cache) > 0 {
		var oldest kvindex.Part
		first := true
		for key, c := range e.cache {
			if first || c.used < e.cache[oldest].used || c.used == e.cache[oldest].used && key.ID < oldest.ID {
				oldest, first = key, false
			}
		}
		used -= e.cache[oldest].tokens
		delete(e.cache, oldest)
		e.tell(oldest, 0)
	}
}

// tell has nodes hear of a change some time later.
func (e *engine) tell(key kvindex.Part, tokens int) {
	e.events++
	e.world.tell(e.holder, kvindex.Change{Number: e.events, Part: key, Tokens: tokens})
}

// step begins a step of the batch, unless one is under way.
func (e *engine) step() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	ms := e.StepMs + e.RunStepMs*float64(len(e.running)-1)
	budget := e.ChunkTokens
	var read []*run
	for _, r := range e.running {
		n := min(budget, r.unread)
		r.unread -= n
		budget -= n
		ms += float64(n) / e.ReadPerMs
		if r.unread == 0 && (n > 0 || !r.started) {
			read = append(read, r)
		}
	}
	if e.slow > 0 {
		ms *= e.slow
	}
	crashes := e.crashes
	e.world.after(duration(ms), func() {
		if e.crashes == crashes {
			e.endStep(read)
		}
	})
}

// endStep produces a token of each run that was read.
func (e *engine) endStep(read []*run) {
	e.busy = false
	for _, r := range read {
		for i, part := range r.call.request.Shared {
			e.keep(r.call.key(i), part.Tokens)
			e.world.save(r.call.target(i), r.call.key(i), part.Tokens)
		}
	}
	for _, r := range slices.Clone(e.running) {
		if r.unread > 0 {
			continue
		}
		r.tokens++
		r.left--
		if !r.started {
			r.started = true
			r.call.began()
		}
		if r.left <= 0 {
			e.remove(r)
			r.call.ended()
		}
	}
	e.putBack()
	e.step()
}

func (e *engine) remove(r *run) {
	e.running = slices.DeleteFunc(e.running, func(other *run) bool { return other == r })
}

// putBack puts back the newest run of the least urgent rank while memory doesn't suffice.
func (e *engine) putBack() {
	e.evict()
	for e.held() > e.Memory && len(e.running) > 1 {
		last := e.running[0]
		for _, r := range e.running {
			if r.call.rank >= last.call.rank {
				last = r
			}
		}
		e.remove(last)
		e.enqueue(last)
		e.world.Result.PutBack++
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package fleetmodel

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/kvindex"
)

// EngineConfig describes one engine.
type EngineConfig struct {
	Memory       int     // tokens
	Slots        int     // runs in a batch
	PrefillPerMs float64 // prompt tokens
	StepMs       float64 // of a batch of one
	RunStepMs    float64 // that each further run adds to a step
	ChunkTokens  int     // read in one step at most
	EventTokens  int     // output tokens in an event of a stream; 0 counts as 1
}

// run is the state of a request at an engine.
type run struct {
	call          *call
	pendingPrompt int // prompt tokens
	pendingOutput int // output tokens still to be generated
	tokens        int // in memory
	started       bool
}

// cached is a shared part in an engine's memory.
type cached struct {
	tokens int
	used   time.Duration // time of last use
}

// engine simulates an engine.
type engine struct {
	EngineConfig
	world      *World
	member     *fleet.Member
	holder     *kvindex.Holder
	waiting    []*run // most urgent first
	running    []*run // oldest first
	cache      map[kvindex.Part]cached
	events     int64   // number of the latest cache event
	busy       bool    // a step is in progress
	slowFactor float64 // by which steps take longer; 0 for 1
	down       bool
	crashes    int
	cacheSize  int // tokens of all cached parts
	maxRunning int // largest number of running requests
}

// send queues a request. It fails at once while the engine is down.
func (e *engine) send(c *call) {
	if e.down {
		c.onEngineFailure()
		return
	}
	c.run = &run{call: c, pendingOutput: c.request.Output}
	e.enqueue(c.run)
	e.step()
}

// enqueue adds a run to the queue, after all runs of the same or a more urgent rank.
func (e *engine) enqueue(r *run) {
	at := slices.IndexFunc(e.waiting, func(w *run) bool { return w.call.rank > r.call.rank })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, r)
}

// runTokens returns the tokens in memory of all running requests.
func (e *engine) runTokens() int {
	sum := 0
	for _, r := range e.running {
		sum += r.tokens
	}
	return sum
}

// admit starts queued requests while slots and memory are available.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		need := r.call.request.prompt() + r.call.request.Output - r.pendingOutput
		if len(e.running) >= e.Slots && !e.preemptForSlot(r, need) || e.runTokens()+need > e.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		r.tokens = need
		r.pendingPrompt = need - e.reusePrefix(r.call)
		e.running = append(e.running, r)
		e.maxRunning = max(e.maxRunning, len(e.running))
		e.evict()
	}
}

// reusePrefix returns the number of prompt tokens that need no prefill: those of the leading shared
// parts that are cached here or imported from the source that the placement names. It caches these
// parts, and counts the shared parts after them as to be prefilled.
func (e *engine) reusePrefix(c *call) int {
	found := 0
	for i, part := range c.request.Shared {
		key := c.partKey(i)
		here := e.cache[key].tokens > 0
		named := i < len(c.placement.Attempt.Sources) && c.placement.Attempt.Sources[i] != ""
		if !here && !(named && e.world.holds(c.placement.Attempt.Sources[i], key)) {
			for j := range c.request.Shared[i:] {
				e.world.countPrefill(c.partKey(i+j), c.request.Shared[i+j].Tokens)
			}
			return found
		}
		found += part.Tokens
		e.touch(key, part.Tokens)
	}
	return found
}

// touch adds a part to the cache, or updates its time of last use.
func (e *engine) touch(key kvindex.Part, tokens int) {
	if e.cache[key].tokens == 0 {
		e.publishChange(key, tokens)
	}
	e.cacheSize += tokens - e.cache[key].tokens
	e.cache[key] = cached{tokens: tokens, used: e.world.elapsed()}
}

// evict evicts the least recently used parts until runs and cached parts fit in memory.
func (e *engine) evict() {
	used := e.runTokens() + e.cacheSize
	for used > e.Memory && len(e.cache) > 0 {
		var oldest kvindex.Part
		first := true
		for key, c := range e.cache {
			if first || c.used < e.cache[oldest].used || c.used == e.cache[oldest].used && key.ID < oldest.ID {
				oldest, first = key, false
			}
		}
		used -= e.cache[oldest].tokens
		e.cacheSize -= e.cache[oldest].tokens
		delete(e.cache, oldest)
		e.publishChange(oldest, 0)
	}
}

// publishChange publishes a change of the cache; tokens is 0 if the part was evicted.
func (e *engine) publishChange(key kvindex.Part, tokens int) {
	e.events++
	e.world.publishChange(e.holder, kvindex.Change{Number: e.events, Part: key, Tokens: tokens})
}

// step starts a step of the batch unless one is in progress. Prompts are prefilled in order of
// start, up to ChunkTokens in total, and the step takes longer by the time for that.
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
		n := min(budget, r.pendingPrompt)
		r.pendingPrompt -= n
		budget -= n
		ms += float64(n) / e.PrefillPerMs
		if r.pendingPrompt == 0 && (n > 0 || !r.started) {
			read = append(read, r)
		}
	}
	if e.slowFactor > 0 {
		ms *= e.slowFactor
	}
	crashes := e.crashes
	e.world.after(duration(ms), func() {
		if e.crashes == crashes {
			e.endStep(read)
		}
	})
}

// endStep completes a step: it caches and saves the shared parts of the runs whose prefill is
// complete, generates a token for each run without pending prompt tokens, and starts the next
// step.
func (e *engine) endStep(read []*run) {
	e.busy = false
	for _, r := range read {
		for i, part := range r.call.request.Shared {
			e.touch(r.call.partKey(i), part.Tokens)
			e.world.save(r.call.saveTarget(i), r.call.partKey(i), part.Tokens)
		}
	}
	for _, r := range slices.Clone(e.running) {
		if r.pendingPrompt > 0 {
			continue
		}
		r.tokens++
		r.pendingOutput--
		e.sendEvent(r)
		if r.pendingOutput <= 0 {
			e.remove(r)
			r.call.onComplete()
		}
	}
	e.preempt()
	e.step()
}

func (e *engine) remove(r *run) {
	e.running = slices.DeleteFunc(e.running, func(other *run) bool { return other == r })
}

// preempt returns the newest run of the least urgent rank to the queue, repeatedly while the runs
// don't fit in memory.
func (e *engine) preempt() {
	e.evict()
	for e.runTokens() > e.Memory && len(e.running) > 1 {
		e.requeue(e.leastUrgent())
	}
}

// preemptForSlot returns the newest run of the least urgent rank to the queue if r is more urgent and
// its tokens then fit in memory. It reports whether it did.
func (e *engine) preemptForSlot(r *run, need int) bool {
	if !e.world.PreemptForSlots {
		return false
	}
	last := e.leastUrgent()
	if last.call.rank <= r.call.rank || e.runTokens()-last.tokens+need > e.Memory {
		return false
	}
	e.requeue(last)
	e.world.Result.PreemptedForSlots++
	return true
}

// leastUrgent returns the newest run of the least urgent rank.
func (e *engine) leastUrgent() *run {
	last := e.running[0]
	for _, r := range e.running {
		if r.call.rank >= last.call.rank {
			last = r
		}
	}
	return last
}

// requeue returns a run to the queue.
func (e *engine) requeue(r *run) {
	e.remove(r)
	e.enqueue(r)
	e.world.Result.Preempted++
}

// cancel removes the request of a caller that has gone away.
func (e *engine) cancel(r *run) {
	e.remove(r)
	e.waiting = slices.DeleteFunc(e.waiting, func(other *run) bool { return other == r })
}

// sendEvent sends an event to the caller if the run's newest token is its first or last one or
// completes an event.
func (e *engine) sendEvent(r *run) {
	switch tokens := r.call.request.Output - r.pendingOutput; {
	case !r.started:
		r.started = true
		r.call.onFirstToken()
	case r.pendingOutput <= 0 || e.EventTokens <= 1 || (tokens-1)%e.EventTokens == 0:
		r.call.onEvent()
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package policybench

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// run is one attempt to serve a turn at an engine.
type run struct {
	id       string
	turn     *turn
	deadline time.Time
	started  time.Time // when the engine queued it
	first    time.Time // time of the first token; zero before
	cached   int
	tail     *tail // part of the import that arrives during the prefill; nil for none
	ended    bool
	onFirst  func()
	onEnd    func(ok bool)
}

// engine simulates a model engine. It prefills prompts sequentially, decodes a batch and caches whole
// blocks with LRU eviction.
type engine struct {
	clock         *clock
	rate          float64
	maxRunning    int
	memory        *simplelru.LRU[string, struct{}]
	events        []kvcache.Event // not yet published
	seq           uint64
	waiting       []*run
	batch         []*run
	prefill       *run
	dead          bool
	computed      func(r *run, tokens int)
	waitingTokens int // prompt tokens not yet prefilled, as reported in load reports
	onChange      func(block string, removed bool)
}

func newEngine(c *clock, rate float64, maxRunning int, computed func(*run, int)) *engine {
	e := &engine{clock: c, rate: rate, maxRunning: maxRunning, computed: computed}
	memory, err := simplelru.NewLRU(engineBlocks, func(id string, _ struct{}) {
		e.recordEvent(id, true)
	})
	if err != nil {
		panic(err) // the size is a positive constant
	}
	e.memory = memory
	return e
}

func (e *engine) recordEvent(block string, removed bool) {
	e.events = append(e.events, kvcache.Event{Seq: e.seq, Block: block, Removed: removed})
	e.seq++
	if e.onChange != nil {
		e.onChange(block, removed)
	}
}

// start queues a run. It fails at once if the engine has crashed.
func (e *engine) start(r *run) {
	if e.dead {
		r.ended = true
		r.onEnd(false)
		return
	}
	r.started = e.clock.now()
	e.waitingTokens += r.turn.prompt
	e.waiting = append(e.waiting, r)
	e.startNext()
}

func (e *engine) startNext() {
	for e.prefill == nil && len(e.waiting) > 0 && len(e.batch) < e.maxRunning {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.clock.now().After(r.deadline) {
			e.waitingTokens -= r.turn.prompt
			r.ended = true
			r.onEnd(false)
			continue
		}
		e.begin(r)
	}
}

func (e *engine) begin(r *run) {
	e.prefill = r
	r.cached = min(e.heldPrefix(r.turn.promptBlocks())*blockTokens, r.turn.prompt-1)
	if r.tail != nil {
		e.beginSplit(r)
		return
	}
	compute := r.turn.prompt - r.cached
	e.computed(r, compute)
	e.clock.after(e.prefillTime(compute), func() { e.prefilled(r) })
}

// prefillTime returns the time to prefill tokens, including the decode steps of the batch in between.
func (e *engine) prefillTime(tokens int) time.Duration {
	took := seconds(float64(tokens) / e.rate)
	if len(e.batch) > 0 {
		steps := (tokens + blockTokens - 1) / blockTokens
		took += time.Duration(steps) * e.stepTime()
	}
	return took
}

func (e *engine) stepTime() time.Duration {
	return decodeStep + time.Duration(max(0, len(e.batch)-1))*decodePerRun
}

func (e *engine) prefilled(r *run) {
	if r.ended {
		return
	}
	e.prefill = nil
	e.waitingTokens -= r.turn.prompt
	r.first = e.clock.now()
	e.batch = append(e.batch, r)
	e.insert(r.turn.promptBlocks())
	e.clock.after(time.Duration(r.turn.output)*e.stepTime(), func() { e.finish(r) })
	r.onFirst()
	e.startNext()
}

func (e *engine) finish(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	e.batch = slices.DeleteFunc(e.batch, func(o *run) bool { return o == r })
	e.insert(r.turn.contextBlocks())
	r.onEnd(true)
	e.startNext()
}

// insert caches blocks from the last to the first, so that the first is evicted last.
func (e *engine) insert(blocks []kvcache.Block) {
	for _, b := range slices.Backward(blocks) {
		if !e.memory.Contains(b.ID) {
			e.recordEvent(b.ID, false)
		}
		e.memory.Add(b.ID, struct{}{})
	}
}

// heldPrefix returns the number of leading blocks that are in memory.
func (e *engine) heldPrefix(blocks []kvcache.Block) int {
	return prefixLength(blocks, e.memory.Contains)
}

// crash discards the engine's memory and fails all runs.
func (e *engine) crash() {
	e.dead = true
	e.memory.Purge()
	runs := slices.Concat(e.waiting, e.batch)
	if e.prefill != nil {
		runs = append(runs, e.prefill)
	}
	e.waiting, e.batch, e.prefill = nil, nil, nil
	for _, r := range runs {
		r.ended = true
		r.onEnd(false)
	}
}

// transfer is one export or import on a store's link.
type transfer struct {
	left    float64 // bytes still to be moved
	maxRate float64 // bytes per second that its reservation allows
	done    func(ok bool)
}

// storeLink simulates a store's link, whose bandwidth is shared evenly among its transfers.
type storeLink struct {
	clock      *clock
	rate       float64
	active     []*transfer
	at         time.Duration
	generation int // incremented to invalidate scheduled events
	moved      func(bytes float64)
	ended      func(t *transfer)
}

func (l *storeLink) start(t *transfer) {
	l.advance()
	l.active = append(l.active, t)
	l.scheduleNext()
}

// cancel removes t from the link.
func (l *storeLink) cancel(t *transfer) {
	l.advance()
	l.active = slices.DeleteFunc(l.active, func(o *transfer) bool { return o == t })
	l.ended(t)
	l.scheduleNext()
}

func (l *storeLink) transferRate(t *transfer) float64 {
	return min(t.maxRate, l.rate/float64(len(l.active)))
}

// advance moves the bytes of the time since the last call.
func (l *storeLink) advance() {
	elapsed := (l.clock.at - l.at).Seconds()
	l.at = l.clock.at
	for _, t := range l.active {
		moved := min(t.left, elapsed*l.transferRate(t))
		t.left -= moved
		l.moved(moved)
	}
}

// scheduleNext schedules the end of the transfer that finishes next.
func (l *storeLink) scheduleNext() {
	l.generation++
	if len(l.active) == 0 {
		return
	}
	turn, soonest := l.generation, time.Duration(0)
	for i, t := range l.active {
		if ends := seconds(t.left / l.transferRate(t)); i == 0 || ends < soonest {
			soonest = ends
		}
	}
	l.clock.after(soonest+time.Microsecond, func() {
		if turn == l.generation {
			l.endFinished()
		}
	})
}

// endFinished ends all transfers that are complete.
func (l *storeLink) endFinished() {
	l.advance()
	var ended []*transfer
	l.active = slices.DeleteFunc(l.active, func(t *transfer) bool {
		if t.left < 1 {
			ended = append(ended, t)
			return true
		}
		return false
	})
	l.scheduleNext()
	for _, t := range ended {
		l.ended(t)
		t.done(true)
	}
}

// runCount returns the number of runs at the engine, queued or running.
func (e *engine) runCount() int {
	n := len(e.waiting) + len(e.batch)
	if e.prefill != nil {
		n++
	}
	return n
}

// scaleRate multiplies the link's bandwidth by a factor.
func (l *storeLink) scaleRate(factor float64) {
	l.advance()
	l.rate *= factor
	l.scheduleNext()
}

// abortAll fails all transfers.
func (l *storeLink) abortAll() {
	l.advance()
	aborted := l.active
	l.active = nil
	l.scheduleNext()
	for _, t := range aborted {
		l.ended(t)
		t.done(false)
	}
}

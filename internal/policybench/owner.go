package policybench

import (
	"strconv"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
)

const (
	model       = "m"
	incarnation = "1"
	layout      = "a"
	eventGap    = 1000 // sequence numbers that a lost batch skips
)

// owner connects a simulated engine to the daemon's decision code of its owner node.
type owner struct {
	s        *system
	name     string
	engine   *engine
	state    *enginestate.Engine
	index    *kvcache.EngineIndex
	paused   time.Duration // end of the pause
	last     enginestate.Estimate
	nextTick time.Duration // time of the next scheduled tick, which prevents duplicates
	gossip   *gossip       // nil if entry nodes request estimates from the owner
}

func newOwner(s *system, i int, e *engine) *owner {
	o := &owner{s: s, name: strconv.Itoa(i), engine: e}
	o.state = enginestate.New(s.now(), enginestate.Config{
		Classes:  []fairqueue.Class{{Weight: 1}},
		MaxQueue: maxQueue, MaxRunning: e.maxRunning, PrefillRate: assumedRate,
	})
	o.index = kvcache.NewEngineIndex(2 * engineBlocks)
	o.index.Resync(incarnation, 0, nil)
	o.last.PrefillRate = assumedRate
	if s.policy.homes == 0 {
		s.after(eventDelay, o.publish)
	}
	if s.policy.lag > 0 {
		o.gossip = newGossip(o, s.policy.lag)
	}
	return o
}

// runUnpaused runs f and then a tick on the owner's node, after a pause if it is paused.
func (o *owner) runUnpaused(f func()) {
	if o.s.at < o.paused {
		o.s.after(o.paused-o.s.at, func() { o.runUnpaused(f) })
		return
	}
	f()
	o.runTick()
}

// publish delivers the engine's cache events to the owner after a delay. A batch is lost with
// probability eventLoss.
func (o *owner) publish() {
	o.s.after(eventDelay, o.publish)
	events := o.engine.events
	o.engine.events = nil
	if len(events) == 0 || o.s.rng.Float64() < eventLoss {
		return
	}
	o.runUnpaused(func() { o.apply(events) })
}

func (o *owner) apply(events []kvcache.Event) {
	o.index.Apply(incarnation, events)
	if !o.index.NeedsResync() {
		return
	}
	o.index.Resync(incarnation, o.engine.seq, o.engine.memory.Keys())
	o.engine.events = nil
}

func (o *owner) grantRequest(j *job, cached, imported int) enginestate.Request {
	return enginestate.Request{
		Run: j.id, Model: model,
		Account:      fairAccount(j.turn.conv.account),
		PromptTokens: j.turn.prompt, CachedTokens: cached, ImportTokens: imported,
		Deadline: epoch.Add(j.turn.at + timeLimit),
	}
}

// estimate returns the owner's estimate for a job, or the last one with a late status if the owner is
// paused.
func (o *owner) estimate(j *job) placement.EngineEstimate {
	e := placement.EngineEstimate{
		Endpoint: o.name, ImportRate: o.s.profile.LinkBytes, Layout: layout,
		BlockTokens: blockTokens, BlockBytes: blockBytes,
	}
	if o.s.at < o.paused {
		e.Status = placement.Late
	} else {
		e.CachedTokens = o.refreshEstimate(j)
		if !o.last.InRotation {
			e.Status = placement.NotInRotation
		}
	}
	e.Wait, e.LastWait = o.last.Wait, o.last.Wait
	e.StepTime = o.last.StepTime
	if o.last.Learned {
		e.PrefillRate = o.last.PrefillRate
	}
	e.Running, e.Waiting = o.last.Running, o.last.Waiting
	return e
}

// refreshEstimate updates the last estimate and returns the estimated number of cached tokens.
func (o *owner) refreshEstimate(j *job) int {
	if o.gossip != nil {
		o.last = o.gossip.loads[j.turn.conv.account]
		return o.gossip.cached(j.turn)
	}
	cached := o.index.Lookup(j.turn.chain(), j.turn.prompt).Tokens
	o.last = o.state.Estimate(o.s.now(), o.grantRequest(j, cached, 0))
	return cached
}

// reportLoad reports the engine's load to the owner, for engines with several owners that grant runs.
func (o *owner) reportLoad() {
	e := o.engine
	running := e.runCount() - len(e.waiting)
	load := enginestate.Load{Running: running, Waiting: len(e.waiting), WaitingTokens: e.waitingTokens}
	o.runUnpaused(func() { o.state.Report(o.s.now(), load) })
}

// request requests a grant for a job, and starts the import of the choice if it has one.
func (o *owner) request(j *job, c placement.Choice) {
	s := o.s
	if s.at < o.paused {
		s.after(detectionDelay, func() { s.send(j) })
		return
	}
	tokens := 0
	if c.Import.Tokens > 0 {
		tokens = s.reserveImport(j, o, c.Import)
	}
	r := o.grantRequest(j, c.Cached, tokens)
	if j.tail != nil {
		r.CachedTokens, r.ImportTokens = c.Cached+tokens, 0 // the engine waits for it
	}
	r.ImportPatience = c.Import.Patience
	if err := o.state.Request(s.now(), r); err != nil {
		s.cancelImport(j)
		s.handleRefusal(j, err)
		return
	}
	j.owner = o
	s.jobs[j.id] = j
	o.runTick()
}

// runTick ticks the state, applies the changes and schedules the next tick.
func (o *owner) runTick() {
	if o.s.at < o.paused {
		return
	}
	changes := o.state.Tick(o.s.now())
	for _, run := range changes.Recompute {
		if j := o.s.jobs[run]; j != nil {
			o.s.cancelImport(j)
		}
	}
	for _, g := range changes.Granted {
		o.start(g)
	}
	for _, r := range changes.Expired {
		if j := o.removeJob(r.Run); j != nil {
			o.s.shed(j)
		}
	}
	for _, r := range changes.Displaced {
		if j := o.removeJob(r.Run); j != nil {
			o.s.after(hop, func() { o.s.send(j) })
		}
	}
	o.scheduleTick()
}

// removeJob removes a job that waits for a grant and cancels its import. It returns nil if the entry
// node has abandoned the job.
func (o *owner) removeJob(run string) *job {
	j := o.s.jobs[run]
	if j == nil {
		return nil
	}
	delete(o.s.jobs, run)
	o.s.cancelImport(j)
	j.owner = nil
	return j
}

func (o *owner) start(g enginestate.Grant) {
	o.s.audit.countGrant(o)
	tail := o.s.detachTail(g.Run)
	j := o.removeJob(g.Run)
	if j == nil {
		o.s.audit.granted[o.engine]--
		o.runUnpaused(func() { o.state.Release(o.s.now(), g.Run, enginestate.Observed{Outcome: enginestate.Abandoned}) })
		return
	}
	r := o.s.attempt(j, o)
	r.tail = tail
	o.s.after(2*hop, func() { o.engine.start(r) })
}

func (o *owner) scheduleTick() {
	next, ok := o.state.NextTick(o.s.now())
	if !ok {
		return
	}
	at := next.Sub(epoch)
	if o.nextTick > o.s.at && o.nextTick <= at {
		return
	}
	o.nextTick = at
	o.s.until(next, func() { o.runUnpaused(func() {}) })
}

// recordFirstToken handles the entry node's report of a run's first token.
func (o *owner) recordFirstToken(r *run) {
	o.runUnpaused(func() {
		o.state.FirstToken(o.s.now(), r.id, r.turn.prompt, r.cached)
		o.index.ObserveStart(incarnation, r.turn.chain(), r.cached)
	})
}

// release handles the entry node's report of the end of a run.
func (o *owner) release(r *run, ok bool) {
	o.runUnpaused(func() {
		observed := enginestate.Observed{Outcome: enginestate.Failed}
		if ok {
			observed.Outcome = enginestate.Completed
			observed.FirstToken, observed.Total = r.first.Sub(r.started), o.s.now().Sub(r.started)
			observed.Prompt, observed.Cached, observed.Output = r.turn.prompt, r.cached, r.turn.output
		}
		o.state.Release(o.s.now(), r.id, observed)
		o.s.audit.granted[o.engine]--
		if ok {
			o.recordTurn(r.turn)
		}
	})
}

// recordTurn records the blocks that the engine caches after a turn and offers them for export.
func (o *owner) recordTurn(t *turn) {
	blocks := t.contextBlocks()
	size := len(blocks) * blockTokens
	o.index.Observe(kvcache.Run{
		Incarnation: incarnation, Chain: t.conv.chain[:len(blocks)],
		PromptSize: size, PromptTokens: size, Blocks: blocks,
	})
	o.s.returns.ObserveTurn(accountName(t.conv.account), o.s.now())
	if o.s.policy.export != nil {
		o.s.offer(o, t)
	}
}

// imported records a block that was imported to the engine.
func (o *owner) imported(t *turn, i int) {
	if o.engine.dead {
		return
	}
	o.engine.insert(t.conv.blocks[i : i+1])
	placed := kvcache.Placement{At: t.conv.chain[i], Index: i, Block: t.conv.blocks[i]}
	o.index.ObserveImport(incarnation, []kvcache.Placement{placed})
}

func fairAccount(i int) fairqueue.Account {
	return fairqueue.Account{ID: accountName(i), Weight: 1}
}

func accountName(i int) string { return strconv.Itoa(i) }

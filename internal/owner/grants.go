package owner

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
)

// enqueue queues a request for a grant. If the grant is already pending, it returns
// the existing request and isNew is false. It fails if the engine does not serve the
// prompt's weights or the queue rejects the request.
func (e *engine) enqueue(now time.Time, req *GrantRequest) (w *pendingGrant, isNew bool, err error) {
	cached := e.index.Lookup(req.Prompt.Chain, req.Tokens)
	r := e.request(now, req.Grant, &req.Prompt, req.Tokens, cached.Tokens)
	r.Account.Class = clampClass(req.Class)
	if req.Weight > 0 {
		r.Account.Weight = req.Weight
	}
	r.ImportTokens, r.ImportPatience = req.Import.Tokens, req.Import.Patience
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	if w := e.pending[req.Grant]; w != nil {
		w.lastPoll = now
		return w, false, nil
	}
	if !e.serves(&req.Prompt) {
		return nil, false, errNotLoaded()
	}
	if err := e.state.Request(now, r); err != nil {
		return nil, false, refusalResult(err)
	}
	w = &pendingGrant{model: req.Prompt.Model, done: make(chan struct{}), lastPoll: now, cancelImport: func() {}}
	e.pending[req.Grant] = w
	return w, true, nil
}

func clampClass(class int) int { return min(max(class, 0), len(classWeights)-1) }

// removePending removes a decided request from the pending ones.
func (e *engine) removePending(grant string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, grant)
}

// withdraw cancels a request, or releases its grant if it was granted.
func (e *engine) withdraw(now time.Time, grant string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawLocked(now, grant)
	e.tickLocked(now)
}

func (e *engine) withdrawLocked(now time.Time, grant string) {
	if w := e.pending[grant]; w != nil {
		w.cancelImport()
		delete(e.pending, grant)
	}
	if !e.state.Cancel(grant) {
		e.state.Release(now, grant, enginestate.Observed{Outcome: enginestate.Abandoned})
	}
}

// withdrawUnpolled withdraws the requests whose entry nodes have stopped polling.
func (e *engine) withdrawUnpolled(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for grant, w := range e.pending {
		if now.Sub(w.lastPoll) > pollLimit {
			e.withdrawLocked(now, grant)
		}
	}
}

// importDone records the result of an import, so that its request can be granted.
func (e *engine) importDone(now time.Time, grant string, w *pendingGrant, tokens int, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.importedTokens, w.importedBytes = tokens, bytes
	e.state.ImportDone(grant, tokens)
	e.tickLocked(now)
}

func (e *engine) setCancelImport(grant string, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.pending[grant]; w != nil {
		w.cancelImport = cancel
	}
}

// firstToken records that a run's prefill has ended.
func (e *engine) firstToken(now time.Time, req *FirstTokenRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.FirstToken(now, req.Grant, req.PromptTokens, req.CachedTokens)
	e.tickLocked(now)
}

// release ends a grant, updates the estimates from its run and returns the engine's
// current expected wait.
func (e *engine) release(now time.Time, req *ReleaseRequest) time.Duration {
	observed := enginestate.Observed{
		Outcome:    enginestate.Outcome(req.Outcome),
		FirstToken: req.FirstToken,
		Total:      req.Total,
		Prompt:     req.PromptTokens,
		Cached:     req.CachedTokens,
		Output:     req.OutputTokens,
	}
	if req.PromptTokens > 0 {
		e.index.ObserveStart(req.Incarnation, req.Prompt.Chain, req.CachedTokens)
	}
	if len(req.Blocks) > 0 {
		e.index.Observe(runFrom(req))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	e.lastModel = req.Prompt.Model
	e.state.Release(now, req.Grant, observed)
	e.countRun(&req.Prompt, observed.Outcome)
	e.tickLocked(now)
	return e.state.Estimate(now, minimalRequest).Wait
}

func runFrom(req *ReleaseRequest) kvcache.Run {
	run := kvcache.Run{
		Incarnation:  req.Incarnation,
		Chain:        req.Prompt.Chain,
		Unit:         req.Prompt.Unit,
		PromptSize:   req.Prompt.Size,
		PromptTokens: req.PromptTokens,
	}
	for _, b := range req.Blocks {
		run.Blocks = append(run.Blocks, kvcache.Block{ID: b.ID, EndToken: b.EndToken, Bytes: b.Bytes})
	}
	return run
}

func (e *engine) adopt(now time.Time, grants []AdoptedGrant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	for _, g := range grants {
		e.state.Adopt(enginestate.Grant{
			Run:       g.Grant,
			Model:     g.Model,
			Account:   fairqueue.Account{ID: g.Account, Class: clampClass(g.Class), Weight: max(g.Weight, 1)},
			Prompt:    g.Tokens,
			Compute:   g.Tokens,
			GrantedAt: now.Add(-g.Age),
			Deadline:  now.Add(g.TimeLeft),
		})
	}
}

func (e *engine) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tickLocked(now)
}

// tickLocked passes the decisions of the engine's state to the pending requests and
// wakes watchTicks. e.mu must be held.
func (e *engine) tickLocked(now time.Time) {
	changes := e.state.Tick(now)
	for _, g := range changes.Granted {
		e.decide(g.Run, nil)
	}
	for _, r := range changes.Expired {
		e.decide(r.Run, result.New(result.DeadlineUnmeetable))
	}
	for _, r := range changes.Displaced {
		e.decide(r.Run, result.New(result.EndpointRejected, result.WithRunState(result.NotRun)))
	}
	for _, run := range changes.Recompute {
		if w := e.pending[run]; w != nil {
			w.cancelImport()
		}
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *engine) decide(grant string, err error) {
	w := e.pending[grant]
	if w == nil {
		return
	}
	if w.decided {
		return
	}
	w.decided, w.err = true, err
	close(w.done)
}

// nextTick returns the time until the next tick is due.
func (e *engine) nextTick(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.state.NextTick(now)
	if !ok {
		return idleTick
	}
	return max(at.Sub(now), 0)
}

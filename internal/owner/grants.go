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
func (e *engine) enqueue(now time.Time, req *GrantRequest) (p *pendingGrant, isNew bool, err error) {
	cached := e.index.Lookup(req.Prompt.Chain, req.Tokens)
	r := e.newRequest(now, req.Grant, &req.Prompt, req.Tokens, cached.Tokens)
	r.Account.Class = clampClass(req.Class)
	if req.Weight > 0 {
		r.Account.Weight = req.Weight
	}
	r.ImportTokens, r.ImportPatience = req.Import.Tokens, req.Import.Patience
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	if p := e.pending[req.Grant]; p != nil {
		p.lastPoll = now
		return p, false, nil
	}
	if !e.canServe(&req.Prompt) {
		return nil, false, errNotLoaded()
	}
	if err := e.queue.Request(now, r); err != nil {
		return nil, false, resultError(err)
	}
	p = &pendingGrant{model: req.Prompt.Model, done: make(chan struct{}), lastPoll: now, cancelImport: func() {}}
	e.pending[req.Grant] = p
	return p, true, nil
}

func clampClass(class int) int { return min(max(class, 0), len(classWeights)-1) }

// removePending removes a request whose decision has been fetched.
func (e *engine) removePending(grant string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, grant)
}

// cancelRequest cancels a request for a grant. If it was granted, the grant is released.
func (e *engine) cancelRequest(now time.Time, grant string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelRequestLocked(now, grant)
	e.tickLocked(now)
}

// cancelRequestLocked is cancelRequest without the following tick. e.mu must be held.
func (e *engine) cancelRequestLocked(now time.Time, grant string) {
	if p := e.pending[grant]; p != nil {
		p.cancelImport()
		delete(e.pending, grant)
	}
	if !e.queue.Cancel(grant) {
		e.queue.Release(now, grant, enginestate.Observed{Outcome: enginestate.Abandoned})
	}
}

// cancelUnpolled cancels the requests whose entry nodes have not polled for pollLimit.
func (e *engine) cancelUnpolled(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for grant, p := range e.pending {
		if now.Sub(p.lastPoll) > pollLimit {
			e.cancelRequestLocked(now, grant)
		}
	}
}

// importDone records the result of an import. The request may then be granted.
func (e *engine) importDone(now time.Time, grant string, p *pendingGrant, tokens int, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.importedTokens, p.importedBytes = tokens, bytes
	e.queue.ImportDone(grant, tokens)
	e.tickLocked(now)
}

func (e *engine) setCancelImport(grant string, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pending[grant]; p != nil {
		p.cancelImport = cancel
	}
}

// firstToken records the end of a run's prefill.
func (e *engine) firstToken(now time.Time, req *FirstTokenRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.FirstToken(now, req.Grant, req.PromptTokens, req.CachedTokens)
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
	e.queue.Release(now, req.Grant, observed)
	e.countRun(&req.Prompt, observed.Outcome)
	e.tickLocked(now)
	return e.queue.Estimate(now, minimalRequest).Wait
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

// adopt registers active grants that another owner issued.
func (e *engine) adopt(now time.Time, grants []AdoptedGrant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	for _, g := range grants {
		e.queue.Adopt(enginestate.Grant{
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
	changes := e.queue.Tick(now)
	for _, g := range changes.Granted {
		e.finishRequest(g.Run, nil)
	}
	for _, r := range changes.Expired {
		e.finishRequest(r.Run, result.New(result.DeadlineUnmeetable))
	}
	for _, r := range changes.Displaced {
		e.finishRequest(r.Run, result.New(result.EndpointRejected, result.WithRunState(result.NotRun)))
	}
	for _, run := range changes.Recompute {
		if p := e.pending[run]; p != nil {
			p.cancelImport()
		}
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// finishRequest records the decision on a pending request and closes done. err is nil
// if the request was granted. It ignores unknown grants and decided requests.
func (e *engine) finishRequest(grant string, err error) {
	p := e.pending[grant]
	if p == nil {
		return
	}
	if p.decided {
		return
	}
	p.decided, p.err = true, err
	close(p.done)
}

// untilNextTick returns the time until the next tick.
func (e *engine) untilNextTick(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.queue.NextTick(now)
	if !ok {
		return idleTick
	}
	return max(at.Sub(now), 0)
}

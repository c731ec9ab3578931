package runs

import (
	"context"
	"strings"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/framecheck"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

const (
	maxAttempts   = 4
	cancelTimeout = 2 * time.Second
	// maxUnbudgetedMoves is the number of times an answer may be moved to another engine without
	// using the retry budget.
	maxUnbudgetedMoves = 2
)

// Dispatcher runs requests on engines. It is safe for concurrent use.
type Dispatcher struct {
	Key     []byte // the nodes' shared key
	Salter  *kvcache.Salter
	Engines Engines
	Placer  Placer
	Budget  Budget
	// VersionSelector selects another version for a request that no engine accepted on its current
	// version; if nil, the version is never changed.
	VersionSelector VersionSelector
	// Directory provides the engine of a run to resume.
	Directory Directory
}

// progress is the state of an answer over all engine runs.
type progress struct {
	req        *Request
	sink       Sink
	startedAt  time.Time
	text       strings.Builder // output delivered so far, sent to the next engine to continue from
	tokens     int
	release    string // of the software of the engine that sent the first token; empty if it stated none
	tried      []string
	moves      int  // times moved to another engine after tokens were delivered
	mayHaveRun bool // whether an engine may have begun the request
	// refusedVersions are the versions on which no engine accepted the request.
	refusedVersions []string
	summary         Summary
}

// Run runs a request and passes the answer to sink. It returns when the answer is complete, when
// the request fails, or at the request's deadline unless req.RunsOn is set.
func (d *Dispatcher) Run(ctx context.Context, req *Request, sink Sink) (Summary, error) {
	if !req.RunsOn {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	p := &progress{req: req, sink: sink, startedAt: time.Now()}
	for attempt := 1; ; attempt++ {
		err := d.attempt(ctx, p)
		if err == nil {
			if attempt == 1 {
				d.Budget.Succeeded()
			}
			return p.summary, nil
		}
		if d.switchVersion(ctx, p, err) {
			attempt--
			continue
		}
		if attempt == maxAttempts || !d.mayRetry(ctx, p, err) {
			return p.summary, p.finalError(ctx, err)
		}
	}
}

// mayRetry reports whether another engine may be tried after err.
func (d *Dispatcher) mayRetry(ctx context.Context, p *progress, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	e := result.From(err)
	if !isEndpointFault(e.Code) {
		return false
	}
	// Delivered tokens prove that the request ran, whatever the engine states afterwards.
	if p.req.Once && (e.RunState != result.NotRun || p.tokens > 0) {
		return false
	}
	// A refusal by a leaving engine needs no retry budget: other engines may have capacity, and
	// this engine is not tried again.
	if engine.CodeOf(err) == enginewire.ErrLeaving {
		return true
	}
	return p.useUnbudgetedMove() || d.Budget.Retry()
}

// useUnbudgetedMove reports whether an answer that has begun may continue on another engine without
// using the retry budget, and counts the move. A move adds only the prefill, since the failed engine
// no longer works on the answer. Two are allowed because two engines may fail at once. Further moves
// use the budget.
func (p *progress) useUnbudgetedMove() bool {
	if p.tokens == 0 || p.moves == maxUnbudgetedMoves {
		return false
	}
	p.moves++
	return true
}

// isEndpointFault reports whether a failure may be specific to the endpoint, so that another one may
// succeed.
func isEndpointFault(code result.Code) bool {
	switch code {
	case result.EndpointUnreachable, result.EndpointFailed, result.EndpointRejected,
		result.AnswerOfOtherRun, result.VersionMismatch, result.AnswerTruncated, result.AnswerMalformed, result.ReleaseMismatch:
		return true
	}
	return false
}

// finalError returns the error for the caller. If ctx has ended, this is the cause of its end unless
// err is DeadlineUnmeetable. If any attempt may have run, the error does not state not_run, even if
// the last attempt was not run. If none may have run, a passed deadline or the caller's leaving is
// stated as not_run.
func (p *progress) finalError(ctx context.Context, err error) error {
	if ctx.Err() != nil && !result.Is(err, result.DeadlineUnmeetable) {
		err = context.Cause(ctx)
	}
	e := result.From(err)
	if p.mayHaveRun && e.RunState == result.NotRun {
		return result.Wrap(e, e.Code, result.WithRunState(result.MayHaveRun), result.WithField(e.Field), result.WithRetryAfter(e.RetryAfter))
	}
	if !p.mayHaveRun && (e.Code == result.DeadlinePassed || e.Code == result.CallerDisconnected) {
		return result.Wrap(e, e.Code, result.WithRunState(result.NotRun))
	}
	return e
}

// attempt places the request on one engine and streams the answer from it.
func (d *Dispatcher) attempt(ctx context.Context, p *progress) error {
	grant, err := d.place(ctx, p)
	if err != nil {
		return err
	}
	if p.summary.Queued == 0 {
		p.summary.Queued = time.Since(p.startedAt)
	}
	name := grant.Endpoint().GetName()
	r := &engineRun{
		d:       d,
		p:       p,
		grant:   grant,
		baseURL: grant.Endpoint().GetUrl(),
		id:      runid.New(d.Key, p.req.Account, runid.ID{Endpoint: name, Base: p.tokens}),
		name:    name,
	}
	tokens, bytes := grant.ImportedContext()
	p.summary.ImportedTokens += tokens
	p.summary.ImportedBytes += bytes
	err = r.run(ctx, grant.FirstFrameTimeout())
	if err != nil && p.hasAllTokens() {
		r.markComplete()
		err = nil
	}
	r.observed.Err = err
	grant.Done(r.observed)
	if err != nil {
		p.mayHaveRun = p.mayHaveRun || r.observed.Started || result.From(err).RunState != result.NotRun
		p.tried = append(p.tried, name)
		r.cancelInBackground(ctx)
	}
	return err
}

// place selects an engine, waiting until the request's deadline at most.
func (d *Dispatcher) place(ctx context.Context, p *progress) (Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, p.req.Deadline)
	defer cancel()
	return d.Placer.Place(ctx, p.req, p.tried)
}

// hasAllTokens reports whether the answer has all the tokens requested, so that only the end frame
// can be missing.
func (p *progress) hasAllTokens() bool { return p.tokens > 0 && p.tokens >= p.req.MaxTokens }

// engineRun is one run on one engine.
type engineRun struct {
	d          *Dispatcher
	p          *progress // of the answer
	grant      Grant     // nil for a resumed run
	baseURL    string
	name       string
	id         string
	checker    *framecheck.Checker
	startedAt  time.Time
	baseTokens int // tokens of the answer before this run
	observed   RunReport
}

func (r *engineRun) request(now time.Time) *enginewire.RunRequest {
	req := r.p.req
	out := &enginewire.RunRequest{
		Run:         r.id,
		Model:       req.Model,
		Version:     req.Version,
		Adapter:     req.Adapter,
		CacheSalt:   r.d.Salter.CacheSalt(req.Account),
		Prompt:      req.Prompt,
		PromptIDs:   req.PromptIDs,
		Continue:    r.p.text.String(),
		MaxTokens:   req.MaxTokens - r.p.tokens,
		Priority:    int(req.Class),
		Temperature: req.Temperature,
		Seed:        req.Seed,
	}
	if !req.RunsOn {
		out.DeadlineMS = req.Deadline.Sub(now).Milliseconds()
	}
	return out
}

// run starts the run on the engine and reads its answer. An engine that sends no first frame within
// firstFrameTimeout, or no further frame within stallTimeout, is treated as if its stream
// broke off.
func (r *engineRun) run(ctx context.Context, firstFrameTimeout time.Duration) error {
	r.startedAt = time.Now()
	r.baseTokens = r.p.tokens
	req := r.request(r.startedAt)
	r.checker = framecheck.NewChecker(framecheck.Expected{
		Run: r.id, Version: req.Version, CacheSalt: req.CacheSalt, Continues: r.p.tokens > 0, Release: r.p.release,
	})
	w := newWatchdog(ctx, firstFrameTimeout)
	defer w.stop()
	stream, err := r.d.Engines.Start(w.ctx, r.baseURL, req)
	if err == nil {
		err = r.readStream(ctx, stream, w)
	}
	err = r.resumeWhileBroken(ctx, w.wrapError(ctx, err))
	r.observed.Total = time.Since(r.startedAt)
	return err
}

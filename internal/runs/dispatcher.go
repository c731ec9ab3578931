package runs

import (
	"context"
	"strings"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/answer"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

const (
	maxAttempts   = 4
	cancelTimeout = 2 * time.Second
	// freeMoves is how often an answer may go on elsewhere outside of the budget.
	freeMoves = 2
)

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Key     []byte // the nodes' shared key
	Salter  *kvcache.Salter
	Engines Engines
	Placer  Placer
	Budget  Budget
	// Versions finds another version for a request that no engine took on its own;
	// nil keeps the version.
	Versions Versions
	// Directory finds the engine of a run to resume.
	Directory Directory
}

// progress is how far an answer has come, over all engine runs.
type progress struct {
	req    *Request
	sink   Sink
	begun  time.Time
	text   strings.Builder // output delivered, to continue elsewhere
	tokens int
	tried  []string
	moves  int  // went on elsewhere after tokens were delivered
	mayRun bool // an engine may have begun the request
	// refused are the versions on which no engine took the request.
	refused []string
	sum     Summary
}

// Run answers a request. It waits for as long as the request's deadline allows.
func (d *Dispatcher) Run(ctx context.Context, req *Request, sink Sink) (Summary, error) {
	if !req.RunsOn {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	p := &progress{req: req, sink: sink, begun: time.Now()}
	for attempt := 1; ; attempt++ {
		err := d.attempt(ctx, p)
		if err == nil {
			if attempt == 1 {
				d.Budget.Succeeded()
			}
			return p.sum, nil
		}
		if d.repin(ctx, p, err) {
			attempt--
			continue
		}
		if attempt == maxAttempts || !d.mayRepeat(ctx, p, err) {
			return p.sum, p.final(ctx, err)
		}
	}
}

// mayRepeat tells whether another engine may be tried after err.
func (d *Dispatcher) mayRepeat(ctx context.Context, p *progress, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	e := result.From(err)
	if !endpointFault(e.Code) {
		return false
	}
	// Tokens show that the request ran, whatever an engine says behind them.
	if p.req.Once && (e.RunState != result.NotRun || p.tokens > 0) {
		return false
	}
	// A leaving engine is alone with its refusal, and is not asked twice.
	if engine.CodeOf(err) == enginewire.ErrLeaving {
		return true
	}
	return p.mayMove() || d.Budget.Retry()
}

// mayMove allows an answer that has begun to go on elsewhere outside of the
// budget, as often as two engines may fail at once: the engine that broke off no
// longer does this work, so that moving it adds none but the prefill. The budget
// bounds all that follows.
func (p *progress) mayMove() bool {
	if p.tokens == 0 || p.moves == freeMoves {
		return false
	}
	p.moves++
	return true
}

// endpointFault tells failures that another endpoint may not have.
func endpointFault(code result.Code) bool {
	switch code {
	case result.EndpointUnreachable, result.EndpointBrokeOff, result.EndpointRefused,
		result.AnswerOfOtherRun, result.VersionMismatch, result.AnswerTruncated, result.AnswerMalformed:
		return true
	}
	return false
}

// final is the error for the caller. An attempt that was not run does not undo
// an earlier one that may have run.
func (p *progress) final(ctx context.Context, err error) error {
	if ctx.Err() != nil && !result.Is(err, result.DeadlineUnmeetable) {
		err = context.Cause(ctx)
	}
	e := result.From(err)
	if p.mayRun && e.RunState == result.NotRun {
		return result.Wrap(e, e.Code, result.WithRunState(result.MayHaveRun), result.WithField(e.Field), result.WithRetryAfter(e.RetryAfter))
	}
	if !p.mayRun && (e.Code == result.DeadlinePassed || e.Code == result.CallerGone) {
		return result.Wrap(e, e.Code, result.WithRunState(result.NotRun))
	}
	return e
}

// attempt places the request on one engine and streams from it.
func (d *Dispatcher) attempt(ctx context.Context, p *progress) error {
	grant, err := d.place(ctx, p)
	if err != nil {
		return err
	}
	if p.sum.Queued == 0 {
		p.sum.Queued = time.Since(p.begun)
	}
	name := grant.Endpoint().GetName()
	r := &engineRun{
		d:     d,
		p:     p,
		grant: grant,
		base:  grant.Endpoint().GetUrl(),
		id:    runid.New(d.Key, p.req.Account, runid.ID{Endpoint: name, Base: p.tokens}),
		name:  name,
	}
	tokens, bytes := grant.Imported()
	p.sum.ImportedTokens += tokens
	p.sum.ImportedBytes += bytes
	err = r.run(ctx, grant.Patience())
	if err != nil && p.exhausted() {
		r.complete()
		err = nil
	}
	r.seen.Err = err
	grant.Done(r.seen)
	if err != nil {
		p.mayRun = p.mayRun || r.seen.Started || result.From(err).RunState != result.NotRun
		p.tried = append(p.tried, name)
		r.abandon(ctx)
	}
	return err
}

// place finds an engine before the request's deadline.
func (d *Dispatcher) place(ctx context.Context, p *progress) (Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, p.req.Deadline)
	defer cancel()
	return d.Placer.Place(ctx, p.req, p.tried)
}

// exhausted tells an answer that has all the tokens that were asked for, and
// lacks only the frame that says so.
func (p *progress) exhausted() bool { return p.tokens > 0 && p.tokens >= p.req.MaxTokens }

// engineRun is one run on one engine.
type engineRun struct {
	d       *Dispatcher
	p       *progress
	grant   Grant // nil for a resumed run
	base    string
	name    string
	id      string
	checker *answer.Checker
	begun   time.Time
	first   int // answer tokens before this run
	seen    Observed
}

func (r *engineRun) request(now time.Time) *enginewire.RunRequest {
	q := r.p.req
	out := &enginewire.RunRequest{
		Run:         r.id,
		Model:       q.Model,
		Version:     q.Version,
		Adapter:     q.Adapter,
		CacheSalt:   r.d.Salter.CacheSalt(q.Account),
		Prompt:      q.Prompt,
		PromptIDs:   q.PromptIDs,
		Continue:    r.p.text.String(),
		MaxTokens:   q.MaxTokens - r.p.tokens,
		Priority:    int(q.Class),
		Temperature: q.Temperature,
		Seed:        q.Seed,
	}
	if !q.RunsOn {
		out.DeadlineMS = q.Deadline.Sub(now).Milliseconds()
	}
	return out
}

// run makes the engine's run. An engine from which nothing comes for longer than
// patience, or than stallTimeout once it has begun, counts as broken off.
func (r *engineRun) run(ctx context.Context, patience time.Duration) error {
	r.begun = time.Now()
	r.first = r.p.tokens
	req := r.request(r.begun)
	r.checker = answer.NewChecker(answer.Expected{Run: r.id, Version: req.Version, CacheSalt: req.CacheSalt})
	w := newWatchdog(ctx, patience)
	defer w.stop()
	stream, err := r.d.Engines.Start(w.ctx, r.base, req)
	if err == nil {
		err = r.read(ctx, stream, w)
	}
	err = r.readOn(ctx, w.explain(ctx, err))
	r.seen.Total = time.Since(r.begun)
	return err
}

package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// maxSends bounds the sends of one request that reach an endpoint, refused ones included: beyond
	// a few refusals the whole service is full, and the caller should know.
	maxSends = 3
	// maxUnreached bounds those that find no connection. Each has its endpoint avoided, and where
	// many end at once the next one may be among them, too.
	maxUnreached = 4
	// refusedPause keeps other requests from an endpoint that refused one: about
	// the time in which one of its requests ends.
	refusedPause = 50 * time.Millisecond
)

// errWithdrawn is the cause of attempts that had not begun when their endpoint's weights got too old.
var errWithdrawn = errors.New("withdrawn: not begun before the endpoint's weights got too old")

// verdict is what one attempt came to.
type verdict int

const (
	delivered verdict = iota // the caller has the answer
	notRun                   // the endpoint did not run it, and never will
	failed                   // it may have run
	answered                 // the caller has the endpoint's own error
	cut                      // a stream broke off after its first event
)

// String implements fmt.Stringer.
func (v verdict) String() string {
	return [...]string{delivered: "delivered", notRun: "not_run", failed: "may_have_run", answered: "answered", cut: "cut"}[v]
}

// forward sends the request until it is answered, or may not be sent again.
func (x *exchange) forward() *result.Error {
	ctx, cancel := x.contextOf()
	defer cancel()
	budget := x.Budgets.Of(x.service.Name)
	budget.Request(x.Clock.Now())
	query := &Query{Route: x.route, Service: x.service, Account: x.account, Attributes: &x.attrs, Age: x.age}
	runs := 0
	for {
		if held := x.held(); held != nil {
			return x.giveUp(ctx, runs, held)
		}
		placement, ok := x.place(ctx, query)
		x.placed = &placement
		if !ok {
			return x.giveUp(ctx, runs, declined(&placement))
		}
		if x.timeOver(ctx) {
			return x.giveUp(ctx, runs, result.New(result.DeadlineUnmeetable, result.WithRetryAfter(retryElsewhere)))
		}
		x.outcome.Attempts++
		v := x.attempt(ctx, query, &placement)
		x.judge(&placement, v)
		x.assess(ctx, &placement, v)
		if v == delivered {
			return nil
		}
		if (v == notRun || v == failed) && placement.Failed != nil {
			placement.Failed()
		}
		query.Tried = append(query.Tried, placement.Member.ID)
		if v != notRun {
			runs++
		}
		x.sends.note(v == notRun && x.unreachable())
		if x.timeOver(ctx) || !x.mayRepeat(v, runs) || !x.sends.pay(budget, x.Clock.Now()) {
			return x.conclude(ctx, v, runs)
		}
		x.Log.Info().Str("event", "sent_again").Str("id", x.attrs.ID).Str("endpoint", placement.Member.ID).
			Stringer("verdict", v).AnErr("cause", x.cause).Str("after_event", x.attrs.ResumeAfter).
			Dur("after_ms", x.Clock.Since(x.arrived)).Send()
	}
}

// mayRepeat reports whether the request may be sent to another endpoint. A caller that has an
// endpoint's whole answer gets nothing more: a second one behind it would read as its end.
func (x *exchange) mayRepeat(v verdict, runs int) bool {
	if x.unread || x.sends.over() || runs >= x.route.MaxAttempts {
		return false
	}
	switch v {
	case delivered, answered:
		return false
	case notRun:
		return true
	case cut:
		return x.route.Resumable && !x.at.unnamed
	default:
		return x.repeatable()
	}
}

// repeatable reports whether a request that may have run, and of whose answer the caller has
// nothing, may be sent again.
func (x *exchange) repeatable() bool {
	return x.route.Repeatable() || x.route.Kind == routing.Stream && x.route.Resumable
}

// judge tells the endpoint's health what happened.
func (x *exchange) judge(p *Placement, v verdict) {
	if x.unread || x.r.Context().Err() != nil || errors.Is(x.cause, errWithdrawn) {
		return // the caller left, or this node withdrew it, which says nothing of the endpoint
	}
	now := x.Clock.Now()
	health := &p.Member.Health
	ended := v == notRun && (x.replaced || x.refused())
	unreachable := v == notRun && x.unreachable()
	if ended {
		p.Member.Ends(now)
	}
	switch {
	case v == delivered:
		health.Succeeded(now)
	case v == notRun && !unreachable && !ended:
		health.Refused(now, refusedPause)
	case health.Failed(now, unreachable):
		x.Log.Warn().Str("event", "endpoint_avoided").Str("endpoint", p.Member.ID).Str("id", x.attrs.ID).
			Float64("failure_rate", health.FailureRate(now)).AnErr("cause", x.cause).Send()
	}
}

// unreachable reports whether the newest attempt found no connection.
func (x *exchange) unreachable() bool {
	var failure *upstream.Error
	return errors.As(x.cause, &failure) && failure.NotRun()
}

// refused reports whether nothing listened where the newest attempt was sent.
func (x *exchange) refused() bool {
	var failure *upstream.Error
	return errors.As(x.cause, &failure) && failure.Refused()
}

// conclude returns the error for a request that is not sent again. An endpoint's
// own error has been delivered already.
func (x *exchange) conclude(ctx context.Context, v verdict, runs int) *result.Error {
	if v == answered {
		return nil
	}
	return x.giveUp(ctx, runs, result.New(result.Overloaded, result.WithRetryAfter(retryNoEndpoint)))
}

// giveUp returns unrun where the request has not run, and else an error that
// promises nothing.
func (x *exchange) giveUp(ctx context.Context, runs int, unrun *result.Error) *result.Error {
	switch {
	case x.unread, x.r.Context().Err() != nil:
		return result.New(result.CallerGone)
	case runs == 0 && x.timeOver(ctx):
		return result.New(result.DeadlineUnmeetable, result.WithRetryAfter(retryElsewhere))
	case runs == 0:
		return unrun
	case x.timeOver(ctx):
		return result.New(result.DeadlinePassed)
	}
	return result.New(result.EndpointBrokeOff, result.WithRunState(result.MayHaveRun))
}

// attempt sends the request once. The cause is this attempt's afterwards, nil where it delivered.
func (x *exchange) attempt(ctx context.Context, q *Query, p *Placement) verdict {
	x.cause, x.lost, x.replaced = nil, false, false
	p.Attempt.Remaining = x.Clock.Until(x.deadline())
	p.Attempt.ResumeAfter = x.attrs.ResumeAfter
	load := p.Member.Load
	load.Begin(p.Reading, p.Holding)
	defer load.End(p.Holding)
	reading := true
	// How long an endpoint takes is measured by the steady clock, as this host's suspension is no
	// slowness of the endpoint.
	begun, sent := time.Now(), x.Clock.Now()
	ctx, began := withdrawUnbegun(ctx, x.steady(p.BeginBy))
	read := func() {
		if reading {
			reading = false
			load.FirstEvent(p.Reading)
			began()
		}
	}
	defer read()
	first := func() {
		if reading && p.Began != nil {
			p.Began(time.Since(begun))
		}
		read()
	}
	answer, err := p.Member.Pool.Do(ctx, x.request(&p.Attempt), x.isOwn)
	if err != nil {
		return x.failedSend(ctx, err)
	}
	info := x.Dialect.ReadAnswer(answer.Header)
	if !info.Events {
		began() // only its end, which may be far, is told to first
	}
	x.noteVersion(answer.StatusCode, &info, p, sent)
	x.noteSignals(answer.StatusCode, &info, p.Member, sent)
	misdirected := answer.StatusCode == http.StatusMisdirectedRequest
	x.replaced = misdirected && info.Instance != "" && info.Instance != p.Member.ID
	if !misdirected { // another endpoint may have said it
		p.Member.Answered(x.Clock.Now(), x.service.ColdStart)
	}
	v := x.deliver(answer, &info, first)
	if v == failed && errors.Is(context.Cause(ctx), errWithdrawn) {
		x.cause = errWithdrawn
	}
	if v == delivered && p.Ended != nil {
		p.Ended(time.Since(begun))
	}
	return v
}

// withdrawUnbegun returns a context that ends at a time, unless began is called before. Zero
// means that it doesn't. It guards against engines that turned slow and begin with prompts on
// replaced weights seconds after the placement, past the operators' bound.
func withdrawUnbegun(ctx context.Context, at time.Time) (_ context.Context, began func()) {
	if at.IsZero() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(at), func() { cancel(errWithdrawn) })
	return ctx, func() { timer.Stop() }
}

// noteVersion learns the weights of the endpoint from its answer to a request that was sent at
// a time.
func (x *exchange) noteVersion(status int, info *AnswerInfo, p *Placement, sent time.Time) {
	model := x.attrs.Model
	switch {
	case info.Version > 0:
		p.Member.Saw(fleet.Statement{Weights: fleet.Weights{Model: model, Version: info.Version}, At: sent})
	case status == http.StatusMisdirectedRequest && p.Attempt.Version > 0 && (info.Instance == "" || info.Instance == p.Member.ID):
		// It is the right endpoint, so its weights are other than believed.
		p.Member.Refuted(model, p.Attempt.Version, x.Clock.Now())
	}
}

func (x *exchange) failedSend(ctx context.Context, err error) verdict {
	x.cause = err
	switch {
	case x.unreachable():
		return notRun
	case errors.Is(context.Cause(ctx), errWithdrawn):
		x.cause = errWithdrawn
	default:
		x.lose(err)
	}
	return failed
}

// isOwn reports whether an answer belongs to this request. Refusals may name none.
func (x *exchange) isOwn(h http.Header) bool {
	info := x.Dialect.ReadAnswer(h)
	return info.ID == x.attrs.ID || info.ID == "" && !info.Sealed
}

// request returns the request as it goes to an endpoint.
func (x *exchange) request(a *Attempt) *upstream.Request {
	header := x.r.Header.Clone()
	removeHopByHop(header)
	header.Del("Content-Length")
	header.Del("Expect")
	if x.route.Kind == routing.Stream {
		header.Del("Accept-Encoding") // events of an encoded stream can't be told apart
	}
	x.Dialect.StripRequest(header)
	x.Dialect.SetAttempt(header, a)
	return &upstream.Request{Method: x.r.Method, Target: target(x.r), Host: x.r.Host, Header: header, Body: x.body}
}

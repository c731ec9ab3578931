package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/reach"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// maxSends bounds the sends of one request that reach an endpoint, including refused ones.
	// After a few refusals the service counts as being at capacity, and the caller gets an error that
	// states this.
	maxSends = 3
	// maxConnectRetries bounds the retries of one request after sends that failed to connect. After
	// such a failure the endpoint is avoided, but when many endpoints end at the same time, the next
	// one selected may have ended, too.
	maxConnectRetries = 4
	// refusalBackoff is the time for which an endpoint that refused a request receives no others:
	// about the time until one of its running requests ends.
	refusalBackoff = 50 * time.Millisecond
)

// errWithdrawn is the cause of attempts that were canceled because the endpoint had not begun them
// before its weights became too old.
var errWithdrawn = errors.New("attempt withdrawn: endpoint had not begun before its weights became too old")

// verdict is the result of one attempt.
type verdict int

const (
	delivered      verdict = iota // the answer was delivered to the caller
	notRun                        // the endpoint did not run the request and will not run it
	mayHaveRun                    // the endpoint may have run the request; nothing was delivered
	errorDelivered                // the endpoint's own error was delivered to the caller
	streamBroken                  // the answer broke off after part of it was delivered
)

// String implements fmt.Stringer.
func (v verdict) String() string {
	return [...]string{delivered: "delivered", notRun: "not_run", mayHaveRun: "may_have_run", errorDelivered: "answered", streamBroken: "cut"}[v]
}

// forward sends the request until it is answered or may not be sent again. It returns nil if an
// endpoint's answer was delivered.
func (x *exchange) forward() *result.Error {
	ctx, cancel := x.deadlineContext()
	defer cancel()
	if x.pathState() == reach.Unreachable {
		return x.withoutPath(ctx, 0)
	}
	budget := x.Budgets.ForService(x.service.Name)
	x.countIn(budget)
	query := &Query{Route: x.route, Service: x.service, Account: x.account, Attributes: &x.attrs, Residency: x.residency(), Sharing: x.config.SharingKey(), Age: x.age}
	mayHaveRunCount := 0
	for {
		if x.stopsTooSoon() {
			return x.finalError(ctx, mayHaveRunCount, draining())
		}
		if refusal := x.quarantineRefusal(); refusal != nil {
			return x.finalError(ctx, mayHaveRunCount, refusal)
		}
		placement, ok := x.place(ctx, query)
		x.placement = &placement
		if !ok {
			return x.finalError(ctx, mayHaveRunCount, placementRefusal(&placement))
		}
		if x.expired(ctx) {
			placement.releaseSlot(false)
			return x.finalError(ctx, mayHaveRunCount, result.New(result.DeadlineUnmeetable, result.WithRetryAfter(retryAfterOtherNode)))
		}
		if x.stopsTooSoon() {
			placement.releaseSlot(false)
			return x.finalError(ctx, mayHaveRunCount, draining())
		}
		x.outcome.Attempts++
		v := x.attempt(ctx, query, &placement)
		placement.releaseSlot(x.refusedForRoom)
		x.updateHealth(&placement, v)
		x.updateQuarantine(ctx, &placement, v)
		if v == delivered {
			return nil
		}
		if (v == notRun || v == mayHaveRun) && placement.RecordFailure != nil {
			placement.RecordFailure()
		}
		query.Tried = append(query.Tried, placement.Member.ID)
		if v != notRun {
			mayHaveRunCount++
		}
		x.sends.record(v == notRun && x.unreachable())
		if x.expired(ctx) || !x.mayRetry(v, mayHaveRunCount) || !x.sends.takeFromBudget(budget, x.Clock.Now()) {
			return x.conclude(ctx, v, mayHaveRunCount)
		}
		if x.hasLostPath() {
			return x.withoutPath(ctx, mayHaveRunCount)
		}
		x.Log.Info().Str("event", "sent_again").Str("id", logged(x.attrs.ID)).Str("endpoint", placement.Member.ID).
			Str("release", placement.Member.Endpoint().Release).Stringer("verdict", v).AnErr("cause", x.cause).Str("after_event", logged(x.position.lastID)).
			Dur("after_ms", x.Clock.Since(x.arrived)).Send()
	}
}

// mayRetry reports whether the request may be sent to another endpoint. It returns false if the
// caller is gone, if a limit on sends is reached, or if a complete answer was delivered: the caller
// would read a second answer as part of the first.
func (x *exchange) mayRetry(v verdict, mayHaveRunCount int) bool {
	if x.callerWriteFailed || x.sends.exhausted() || mayHaveRunCount >= x.maxAttempts() {
		return false
	}
	switch v {
	case delivered, errorDelivered:
		return false
	case notRun:
		return true
	case streamBroken:
		return x.route.Resumable && !x.position.endsWithoutID && x.release != ""
	default:
		return x.retryable()
	}
}

// retryable reports whether the request may be sent again when an endpoint may have run it and
// nothing of its answer was delivered.
func (x *exchange) retryable() bool {
	return x.route.Repeatable() || x.route.Kind == routing.Stream && x.route.Resumable
}

// conclude returns the error for a request that is not sent again, or nil if an endpoint's own
// error was delivered already.
func (x *exchange) conclude(ctx context.Context, v verdict, mayHaveRunCount int) *result.Error {
	if v == errorDelivered {
		return nil
	}
	return x.finalError(ctx, mayHaveRunCount, result.New(result.Overloaded, result.WithRetryAfter(retryAfterNoEndpoint)))
}

// finalError returns notRunErr if no endpoint can have run the request, and otherwise an error with
// run state may_have_run. If the caller has left, this node ends, or the deadline has passed, the error states that
// instead.
func (x *exchange) finalError(ctx context.Context, mayHaveRunCount int, notRunErr *result.Error) *result.Error {
	switch {
	case x.callerWriteFailed, x.r.Context().Err() != nil:
		return result.New(result.CallerDisconnected)
	case errors.Is(context.Cause(ctx), errNodeStops):
		return endedByStop(mayHaveRunCount)
	case mayHaveRunCount == 0 && x.expired(ctx):
		return result.New(result.DeadlineUnmeetable, result.WithRetryAfter(retryAfterOtherNode))
	case mayHaveRunCount == 0:
		return notRunErr
	case x.expired(ctx):
		return result.New(result.DeadlinePassed)
	}
	return result.New(result.EndpointFailed, result.WithRunState(result.MayHaveRun))
}

// attempt sends the request once and returns the verdict. Afterwards x.cause is the reason
// for which this attempt failed, or nil if its answer was delivered.
func (x *exchange) attempt(ctx context.Context, q *Query, p *Placement) verdict {
	x.cause, x.excess, x.answerBroken, x.endpointReplaced, x.refusedForRoom, x.begun, x.endUncertain = nil, nil, false, false, false, false, false
	p.Attempt.Remaining = x.Clock.Until(x.deadline())
	p.Attempt.ResumeAfter = x.position.lastID
	load := p.Member.Load
	load.Begin(p.PrefillTokens, p.MemoryTokens)
	if p.OnSend != nil {
		p.OnSend()
	}
	defer load.End(p.MemoryTokens)
	prefilling := true
	// The duration is measured by the monotonic clock: a suspension of this host must not count as
	// slowness of the endpoint.
	started, sent := time.Now(), x.Clock.Now()
	ctx, markBegun := withdrawUnlessBegun(ctx, x.monotonicTime(p.BeginBy))
	releasePrefill := func() {
		if prefilling {
			prefilling = false
			load.FirstEvent(p.PrefillTokens)
			markBegun()
		}
	}
	defer releasePrefill()
	defer func() { x.attemptTook = time.Since(started) }()
	onFirstEvent := func() {
		if prefilling && p.RecordFirstEvent != nil {
			p.RecordFirstEvent(time.Since(started))
		}
		releasePrefill()
	}
	answer, err := p.Member.Pool.Do(ctx, x.request(&p.Attempt), x.isOwn)
	if err != nil {
		return x.sendFailureVerdict(ctx, err)
	}
	info := x.Dialect.ReadAnswer(answer.Header)
	if !info.Events {
		markBegun() // a plain answer has no events, and its end may take long to arrive
	}
	x.recordVersion(answer.StatusCode, &info, p, sent)
	x.recordSignals(answer.StatusCode, &info, p.Member, sent)
	misdirected := answer.StatusCode == http.StatusMisdirectedRequest
	x.refusedForRoom = info.NotRun && isRefusal(answer.StatusCode)
	x.endpointReplaced = misdirected && info.Instance != "" && info.Instance != p.Member.ID
	if !misdirected { // a misdirected answer may come from another endpoint
		p.Member.RecordAnswer(x.Clock.Now(), x.service.ColdStart)
	}
	v := x.deliver(answer, &info, onFirstEvent)
	if v == mayHaveRun && errors.Is(context.Cause(ctx), errWithdrawn) {
		x.cause = errWithdrawn
	}
	if v == delivered && p.RecordRun != nil {
		p.RecordRun(time.Since(started))
	}
	return v
}

// withdrawUnlessBegun returns a context that is canceled with errWithdrawn at the given time unless
// markBegun is called first. A zero time sets no limit. Otherwise a slow engine could begin a
// prompt on replaced weights seconds after the placement, past the operators' limit for old weights.
func withdrawUnlessBegun(ctx context.Context, at time.Time) (_ context.Context, markBegun func()) {
	if at.IsZero() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(at), func() { cancel(errWithdrawn) })
	return ctx, func() { timer.Stop() }
}

// recordVersion records the weight version that the endpoint stated in its answer. sent is the time
// at which the request was sent.
func (x *exchange) recordVersion(status int, info *AnswerInfo, p *Placement, sent time.Time) {
	model := x.attrs.Model
	switch {
	case info.Version > 0:
		p.Member.RecordWeights(fleet.WeightsReport{Weights: fleet.Weights{Model: model, Version: info.Version}, At: sent})
	case status == http.StatusMisdirectedRequest && p.Attempt.Version > 0 && (info.Instance == "" || info.Instance == p.Member.ID):
		// The right endpoint answered, so its weights differ from those recorded for it.
		p.Member.RecordVersionRefusal(model, p.Attempt.Version, x.Clock.Now())
	}
}

// sendFailureVerdict sets x.cause for a send that ended without an answer, and returns the verdict on
// it.
func (x *exchange) sendFailureVerdict(ctx context.Context, err error) verdict {
	x.cause = err
	x.recordExcess(err)
	switch {
	case x.unreachable():
		return notRun
	case errors.Is(context.Cause(ctx), errWithdrawn):
		x.cause = errWithdrawn
	default:
		x.recordBrokenAnswer(err)
	}
	return mayHaveRun
}

// isOwn reports whether an answer belongs to this request. Endpoints repeat the id of the request in their answers. Bytes
// that have the form of an answer without an id may be late, after the answer to an earlier request of the connection.
func (x *exchange) isOwn(h http.Header, fresh bool) bool {
	info := x.Dialect.ReadAnswer(h)
	if info.ID != "" || x.attrs.ID == "" {
		return info.ID == x.attrs.ID
	}
	own := fresh && !info.Signed
	x.Log.Warn().Str("event", "answer_unidentified").Str("id", logged(x.attrs.ID)).Bool("fresh", fresh).Bool("own", own).Bool("not_run", info.NotRun).Send()
	return own
}

// request returns the request to send to an endpoint for one attempt.
func (x *exchange) request(a *Attempt) *upstream.Request {
	header := x.callerHeader()
	if x.route.Kind == routing.Stream {
		header.Del("Accept-Encoding") // event boundaries can't be found in an encoded stream
	}
	x.Dialect.StripRequest(header)
	handoff.Strip(header)
	x.Dialect.SetAttempt(header, a)
	return x.requestWith(header)
}

// callerHeader returns a copy of the caller's header without what applies to its connection only.
func (x *exchange) callerHeader() http.Header {
	header := x.r.Header.Clone()
	x.removeHopByHop(header)
	header.Del("Content-Length")
	header.Del("Expect")
	return header
}

// requestWith returns the caller's request with another header.
func (x *exchange) requestWith(header http.Header) *upstream.Request {
	return &upstream.Request{Method: x.r.Method, Target: target(x.r), Host: x.r.Host, Header: header, Body: x.body}
}

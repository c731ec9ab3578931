package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/reach"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// maxHelpers is the maximum number of nodes that one request is passed to. All but the last state
	// that they have not sent it.
	maxHelpers = 4
	// retryAfterPathLost is the Retry-After time for a caller whose request no node that was asked could
	// send: the time in which a path that is back is noticed.
	retryAfterPathLost = 300 * time.Millisecond
)

// Paths states whether this node has a network path to the endpoints of services.
type Paths interface {
	State(service string) reach.State
	// Ended reports whether an endpoint has ended, rather than that this node has lost the path to it.
	// It may take some hundred ms.
	Ended(m *fleet.Member) bool
}

// ServePassed serves a request that another node passed to this one, because it has no path to the
// service's endpoints. It is never passed on.
func (h *Handler) ServePassed(w http.ResponseWriter, r *http.Request) {
	envelope, err := handoff.Read(r.Header)
	if err != nil {
		h.Log.Warn().Str("event", "envelope_rejected").Str("from", r.RemoteAddr).AnErr("error", err).Send()
		h.writeRefusal(w, "", result.Wrap(err, result.PeerEnvelope))
		return
	}
	x := &exchange{Handler: h, w: w, r: r, arrived: h.Clock.Now(), passed: envelope, counted: envelope.Counted}
	x.attrs = h.Dialect.ReadRequest(r.Header)
	x.attrs.Deadline, x.attrs.HasDeadline = envelope.Left(), true
	x.attrs.ResumeAfter, x.release = envelope.ResumeAfter, envelope.Release
	x.serve()
}

// writeRefusal answers a request that another node passed to this one with an error of this node.
func (h *Handler) writeRefusal(w http.ResponseWriter, id string, e *result.Error) {
	if err := handoff.RefusalOf(e).Set(w.Header()); err != nil {
		h.Log.Error().Str("event", "encode_error").Err(err).Send()
	}
	h.writeError(w, id, e)
}

// admitPassed returns the refusal of a request of another node that this node must not serve, or nil.
func (x *exchange) admitPassed() *result.Error {
	switch {
	case x.passed == nil:
		return nil
	case x.ShuttingDown != nil && x.ShuttingDown():
		return draining()
	case x.config.Version < x.passed.Config:
		return result.New(result.NodeStale, result.WithRetryAfter(retryAfterOtherNode))
	}
	return nil
}

// estimateAge sets the time since the caller first tried. It is not estimated again from what a node
// states as the time left.
func (x *exchange) estimateAge() {
	if x.passed != nil {
		x.age = x.passed.Age()
		return
	}
	x.age = x.AgeEstimator.Age(x.route.Name, x.attrs.Deadline, x.arrived)
}

// maxAttempts returns the number of endpoints to which the request may be sent.
func (x *exchange) maxAttempts() int {
	if x.passed != nil {
		return min(x.route.MaxAttempts, x.passed.Attempts)
	}
	return x.route.MaxAttempts
}

// countIn counts the request in the retry budget, unless the node that passed it on has.
func (x *exchange) countIn(budget *Budget) {
	if !x.counted {
		budget.RecordRequest(x.Clock.Now())
		x.counted = true
	}
}

// pathState returns the state of the path to the request's service.
func (x *exchange) pathState() reach.State {
	if x.Paths == nil {
		return reach.Reachable
	}
	return x.Paths.State(x.service.Name)
}

// hasEnded reports whether an endpoint has ended.
func (x *exchange) hasEnded(m *fleet.Member) bool {
	if x.Paths == nil {
		return m.Ended()
	}
	return x.Paths.Ended(m)
}

// hasLostPath reports, after a failed attempt, whether further ones would probably fail for want of a
// path.
func (x *exchange) hasLostPath() bool {
	switch x.pathState() {
	case reach.Unreachable:
		return true
	case reach.Suspected:
		return x.unreachable()
	}
	return false
}

// withoutPath handles a request to whose service this node has no path: it is passed to another node,
// or refused if another node passed it to this one.
func (x *exchange) withoutPath(ctx context.Context, mayHaveRunCount int) *result.Error {
	pathLost := result.New(result.PathLost, result.WithRetryAfter(retryAfterPathLost))
	if x.passed != nil || x.Helpers == nil {
		return x.finalError(ctx, mayHaveRunCount, pathLost)
	}
	need := &handoff.Need{Service: x.service.Name, Confined: x.residency().Confined(), Continues: x.release != ""}
	for len(need.Tried) < maxHelpers && !x.expired(ctx) {
		helper := x.Helpers.Acquire(need)
		if helper == nil {
			break
		}
		need.Tried = append(need.Tried, helper.Name)
		refusal, done := x.pass(ctx, helper, mayHaveRunCount)
		x.Helpers.Release(helper)
		if done {
			return refusal
		}
	}
	return x.finalError(ctx, mayHaveRunCount, pathLost)
}

// pass passes the request to a helper and delivers its answer. It reports false if the helper has
// certainly not sent the request, so that another one may be asked. The error is nil if an endpoint's
// answer was delivered.
func (x *exchange) pass(ctx context.Context, helper *handoff.Helper, mayHaveRunCount int) (_ *result.Error, done bool) {
	x.helper, x.cause = helper.Name, nil
	request, err := x.requestTo(mayHaveRunCount)
	if err != nil {
		return result.Wrap(err, result.Internal), true
	}
	answer, err := helper.Pool.Do(ctx, request, x.isOwnOrRefusal)
	if err != nil {
		x.cause = err
		if x.unreachable() {
			x.Helpers.RecordUnavailable(helper)
			return nil, false
		}
		return x.finalError(ctx, mayHaveRunCount+1, nil), true
	}
	if refusal := handoff.ReadRefusal(answer.Header); refusal != nil {
		_ = x.discardBody(answer) // the refusal is complete without it
		return x.handleRefusal(ctx, helper, refusal, mayHaveRunCount)
	}
	info := x.Dialect.ReadAnswer(answer.Header)
	switch v := x.deliver(answer, &info, func() {}); v {
	case delivered, errorDelivered:
		return nil, true
	default:
		return x.finalError(ctx, mayHaveRunCount+1, nil), true
	}
}

// isOwnOrRefusal is isOwn for the answers of helpers, whose refusals bear no id. Unlike endpoints, nodes send nothing late.
func (x *exchange) isOwnOrRefusal(h http.Header, fresh bool) bool {
	return handoff.ReadRefusal(h) != nil || x.isOwn(h, fresh)
}

// handleRefusal returns a helper's error as this node's own. It reports false if another helper may
// serve the request.
func (x *exchange) handleRefusal(ctx context.Context, helper *handoff.Helper, refusal *handoff.Refusal, mayHaveRunCount int) (_ *result.Error, done bool) {
	x.cause = eris.Errorf("helper %s refused the request: %s", helper.Name, refusal.Code)
	if refusal.TryOther() {
		if refusal.Code == result.PathLost {
			x.Helpers.RecordNoPath(helper, x.service.Name)
		} else {
			x.Helpers.RecordUnavailable(helper)
		}
		return nil, false
	}
	if refusal.RunState != result.NotRun {
		mayHaveRunCount++
	}
	return x.finalError(ctx, mayHaveRunCount, refusal.Error()), true
}

// requestTo returns the request to send to a helper.
func (x *exchange) requestTo(mayHaveRunCount int) (*upstream.Request, error) {
	header := x.callerHeader()
	envelope := handoff.Envelope{
		From: x.Helpers.Name, Config: x.config.Version, LeftMS: x.Clock.Until(x.deadline()).Milliseconds(), AgeMS: x.age.Milliseconds(),
		Attempts: x.route.MaxAttempts - mayHaveRunCount, Counted: x.counted, ResumeAfter: x.position.lastID,
		Service: x.service.Name, Release: x.release,
	}
	if err := envelope.Set(header); err != nil {
		return nil, err
	}
	return x.requestWith(header), nil
}

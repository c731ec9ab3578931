package forward

import (
	"errors"

	"github.com/cherryward/cherryward/internal/reach"
	"github.com/cherryward/cherryward/internal/upstream"
)

// updateHealth updates the endpoint's health with the verdict on an attempt.
func (x *exchange) updateHealth(p *Placement, v verdict) {
	if x.callerWriteFailed || x.r.Context().Err() != nil || errors.Is(x.cause, errWithdrawn) {
		return // the caller left or this node withdrew the attempt: neither depends on the endpoint's health
	}
	if v != delivered && x.pathState() == reach.Unreachable {
		return // nothing is known of the endpoint, and nothing must be told of it to other nodes
	}
	if p.RecordAnswer != nil && v != notRun {
		p.RecordAnswer(v != delivered, max(x.attemptTook-p.PredictedFirstEvent, 0))
	}
	now := x.Clock.Now()
	health := &p.Member.Health
	if x.excess != nil {
		x.Log.Warn().Str("event", "answer_excess").Str("id", logged(x.attrs.ID)).Str("endpoint", p.Member.ID).Str("part", string(x.excess.Part)).Send()
	}
	endpointEnded := v == notRun && (x.endpointReplaced || x.connectionRefused())
	unreachable := v == notRun && x.unreachable()
	if endpointEnded {
		p.Member.MarkEnded(now)
	}
	switch {
	case v == delivered:
		health.RecordSuccess(now)
	case v == notRun && !unreachable && !endpointEnded && x.excess == nil:
		health.RecordRefusal(now, refusalBackoff)
	case health.RecordFailure(now, unreachable || x.excess != nil):
		x.Log.Warn().Str("event", "endpoint_avoided").Str("endpoint", p.Member.ID).Str("id", logged(x.attrs.ID)).
			Float64("failure_rate", health.FailureRate(now)).AnErr("cause", x.cause).Send()
	}
}

// recordExcess records and reports whether an attempt ended with err since the endpoint sent too much.
func (x *exchange) recordExcess(err error) bool {
	if !errors.As(err, &x.excess) {
		return false
	}
	x.outcome.Excesses = append(x.outcome.Excesses, x.excess.Part)
	return true
}

// unreachable reports whether the latest attempt failed to connect.
func (x *exchange) unreachable() bool {
	var failure *upstream.Error
	return errors.As(x.cause, &failure) && failure.NotRun()
}

// connectionRefused reports whether the latest attempt's connection was refused, so that nothing
// listens at the address.
func (x *exchange) connectionRefused() bool {
	var failure *upstream.Error
	return errors.As(x.cause, &failure) && failure.ConnectionRefused()
}

package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

// errNodeStops is the cause of the end of requests that are in progress when their node ends.
var errNodeStops = errors.New("node stops")

// Stop tells requests of the end of their node. It is safe for concurrent use. A nil *Stop never comes.
type Stop struct {
	times atomic.Pointer[stopTimes] // nil until Begin
	ended context.Context
	end   context.CancelFunc
}

// stopTimes are the times since which callers use other nodes, and at which requests in progress are ended.
type stopTimes struct{ began, end time.Time }

// NewStop returns the Stop of a node that is not stopping.
func NewStop() *Stop {
	s := &Stop{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Begin states since when callers use other nodes, and when the requests in progress will be ended. Requests that come
// all the same, on connections that were opened before, are refused unless their deadline is before that time.
func (s *Stop) Begin(began, end time.Time) { s.times.Store(&stopTimes{began, end}) }

// End ends the requests in progress. Where nothing of an answer was delivered, callers get an error that
// states whether their request may have run: a closed connection would leave that open.
func (s *Stop) End() { s.end() }

// load returns the times of the end, or nil if they are not known.
func (s *Stop) load() *stopTimes {
	if s == nil {
		return nil
	}
	return s.times.Load()
}

// context returns ctx, canceled with errNodeStops when the node ends.
func (s *Stop) context(ctx context.Context) (_ context.Context, cancel context.CancelFunc) {
	if s == nil {
		return ctx, func() {}
	}
	ctx, cancelCause := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.ended, func() { cancelCause(errNodeStops) })
	return ctx, func() {
		detach()
		cancelCause(nil)
	}
}

// stopsTooSoon reports whether a request should not be sent any more as the node ends: one that came when callers used
// other nodes is sent only if it ends in time whatever its endpoint does, another one if an answer can be expected.
func (x *exchange) stopsTooSoon() bool {
	times := x.Stop.load()
	switch {
	case times == nil:
		return false
	case x.arrived.After(times.began):
		return times.end.Before(x.deadline())
	}
	return times.end.Before(x.Clock.Now().Add(x.route.Objective))
}

// draining returns the refusal of a request that another node can serve.
func draining() *result.Error {
	return result.New(result.Draining, result.WithRetryAfter(retryAfterOtherNode))
}

// endedByStop returns the error of a request that was in progress when its node ended.
func endedByStop(mayHaveRunCount int) *result.Error {
	if mayHaveRunCount == 0 {
		return draining()
	}
	return result.New(result.Draining, result.WithRunState(result.MayHaveRun), result.WithMessage("the node stops and ended the request"))
}

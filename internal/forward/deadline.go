package forward

import (
	"context"
	"time"
)

// deadline returns the earlier of the caller's deadline and the route's timeout.
func (x *exchange) deadline() time.Time {
	limit := x.route.Timeout
	if x.attrs.HasDeadline {
		limit = min(limit, x.attrs.Deadline)
	}
	return x.arrived.Add(limit)
}

// expired reports whether the request's deadline has passed. It also reads the clock, since a
// context's timer fires late by the time for which the host was suspended.
func (x *exchange) expired(ctx context.Context) bool {
	return ctx.Err() != nil || x.Clock.Until(x.deadline()) <= 0
}

// monotonicTime converts a time of x.Clock to one on the monotonic clock, which timers use. Zero
// stays zero.
func (x *exchange) monotonicTime(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return time.Now().Add(x.Clock.Until(at))
}

// deadlineContext returns a context that is canceled at the request's deadline, when the caller leaves, or when the
// node ends.
func (x *exchange) deadlineContext() (context.Context, context.CancelFunc) {
	ctx, cancelDeadline := context.WithDeadline(x.r.Context(), x.monotonicTime(x.deadline()))
	ctx, cancelStop := x.Stop.context(ctx)
	return ctx, func() {
		cancelStop()
		cancelDeadline()
	}
}

package forward

import (
	"context"
	"time"
)

// deadline returns when the caller's or the route's time is over, whichever is
// first.
func (x *exchange) deadline() time.Time {
	limit := x.route.Timeout
	if x.attrs.HasDeadline {
		limit = min(limit, x.attrs.Deadline)
	}
	return x.arrived.Add(limit)
}

// timeOver reports whether the request's time is over. A context's timer is late by as much as the
// host was suspended.
func (x *exchange) timeOver(ctx context.Context) bool {
	return ctx.Err() != nil || x.Clock.Until(x.deadline()) <= 0
}

// steady returns a time by the steady clock, which timers follow; zero stays zero.
func (x *exchange) steady(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return time.Now().Add(x.Clock.Until(at))
}

// contextOf returns a context that ends with the request's time and with the caller.
func (x *exchange) contextOf() (context.Context, context.CancelFunc) {
	return context.WithDeadline(x.r.Context(), x.steady(x.deadline()))
}

package forward

import (
	"cmp"
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/result"
)

const (
	// MaxWaitShare is the part of the route's objective for which a request waits at this node for an
	// endpoint. A caller refused later than that has lost time that it could have used. Callers
	// that were refused before wait no longer than others: they would take capacity from prompts
	// that can still meet the objective. Streams that have begun wait longer; see Query.maxWait.
	MaxWaitShare = 0.125
	// placeInterval is the time between two placement tries while a request waits. Capacity becomes
	// free, and peers report it, some dozens of times a second.
	placeInterval = 10 * time.Millisecond
)

// place selects an endpoint, and borrows a slot there if it is brittle. If none accepts the request now but one
// is predicted to soon, it waits and tries again. It reports false as soon as the prediction exceeds the rest of the
// maximum wait (see maxWait), there is no prediction, or ctx ends. The wait is counted from the request's arrival, or
// from the end of the latest attempt if that broke off a stream.
func (x *exchange) place(ctx context.Context, q *Query) (Placement, bool) {
	q.Release = x.release
	since := x.arrived
	if x.written {
		since = x.Clock.Now()
	}
	for {
		placement, ok := x.Placer.Place(q)
		placement.Waited = x.Clock.Since(since)
		if ok && !placement.borrowSlot(ctx) {
			if ctx.Err() == nil && placement.Waited < q.maxWait() {
				continue // another endpoint may have a free slot
			}
			return placement, false
		}
		pause := placement.RetryDelayWithin(q.maxWait())
		if ok || pause <= 0 || ctx.Err() != nil {
			return placement, ok
		}
		retry.Sleep(ctx, pause)
	}
}

// RetryDelay returns the time for which a request without a placement waits until the next try, or 0 if
// it is to be refused now.
func (p *Placement) RetryDelay(objective time.Duration) time.Duration {
	return p.RetryDelayWithin(maxWait(objective))
}

// maxWait returns the time for which a new request waits at this node for an endpoint.
func maxWait(objective time.Duration) time.Duration {
	return time.Duration(MaxWaitShare * float64(objective))
}

// maxWait returns the time for which the request waits at this node for an endpoint. A stream that has begun waits for up to
// the whole objective: only the endpoints of one release can continue it, and if it is refused, its caller may lose the
// part of the answer that it has.
func (q *Query) maxWait() time.Duration {
	if q.Release != "" {
		return q.Route.Objective
	}
	return maxWait(q.Route.Objective)
}

// RetryDelayWithin is like RetryDelay with a maximum total wait of maxWait.
func (p *Placement) RetryDelayWithin(maxWait time.Duration) time.Duration {
	left := maxWait - p.Waited
	if p.PredictedWait <= 0 || p.PredictedWait > left {
		return 0
	}
	return min(placeInterval, left)
}

// borrowSlot borrows a slot of a brittle endpoint. It returns false if none is free now.
func (p *Placement) borrowSlot(ctx context.Context) bool {
	if p.Borrow == nil {
		return true
	}
	p.Slot = p.Borrow(ctx)
	return p.Slot != nil
}

// releaseSlot returns the borrowed slot, if there is one.
func (p *Placement) releaseSlot(refused bool) {
	if p.Slot != nil {
		p.Slot.Release(refused)
	}
}

// placementRefusal returns the refusal of a request that no endpoint accepts now.
func placementRefusal(p *Placement) *result.Error {
	if p.Final {
		return result.New(cmp.Or(p.RefusalCode, result.NoEndpoint))
	}
	if p.OnRefusal != nil {
		p.RetryAfter = p.OnRefusal()
	}
	if p.RetryAfter <= 0 {
		p.RetryAfter = retryAfterNoEndpoint
	}
	return result.New(cmp.Or(p.RefusalCode, result.NoEndpoint), result.WithRetryAfter(p.RetryAfter))
}

// log adds the reason for the placement and its predictions to the request's log event.
func (p *Placement) log(event *zerolog.Event, c *clock.Clock) *zerolog.Event {
	event = event.Str("why", p.Reason).Int64("wait_ms", p.PredictedWait.Milliseconds()).Int64("waited_ms", p.Waited.Milliseconds())
	event = p.SlotState.log(event)
	if p.Member == nil {
		return event.Int64("retry_after_ms", p.RetryAfter.Milliseconds())
	}
	if !p.BeginBy.IsZero() {
		event = event.Int64("begin_left_ms", c.Until(p.BeginBy).Milliseconds())
	}
	if limit, known := p.Member.Signals.RateLimit(); known && limit.InForce {
		event = event.Float64("limit", limit.PerSecond).Int64("limit_age_ms", c.Since(limit.At).Milliseconds()).Bool("limit_own", limit.Direct)
	}
	event = p.logPace(event)
	if since, draining := p.Member.Signals.Draining(); draining {
		event = event.Int64("draining_for_ms", c.Since(since).Milliseconds())
	}
	if b, backsOff := p.Member.Signals.Backoff(c.Now()); backsOff {
		event = event.Int64("backoff_left_ms", c.Until(b.Until).Milliseconds())
	}
	if p.LoadAge > 0 {
		event = event.Int64("load_age_ms", p.LoadAge.Milliseconds()).Int("noticed", p.Noticed)
	}
	return event.Str("endpoint", p.Member.ID).Str("release", p.Member.Endpoint().Release).Int64("weights", p.Attempt.Version).
		Int("read", p.PrefillTokens).Int("cached", p.Cached).Int("fetched", p.Fetched).Strs("saved", p.Attempt.Targets).
		Int64("predicted_ms", p.PredictedFirstEvent.Milliseconds()).Int("held", p.OccupiedTokens)
}

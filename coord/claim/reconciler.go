package claim

import (
	"context"
	"errors"
	"time"
)

// Endpoint is the control interface of an endpoint with states S, which accepts orders O.
// Orders are idempotent: each one names the desired state.
type Endpoint[S, O any] interface {
	// Observe returns the current state.
	Observe(ctx context.Context) (S, error)
	// Order sends an order. An error that wraps ErrStale means that the endpoint rejected the
	// token; after any other error the order may have taken effect, or may still take effect.
	Order(ctx context.Context, token int64, order O) error
}

// Diff returns the next order that brings the observed state closer to the desired state, or
// false if no order is needed or the endpoint is still executing one. It must not have side
// effects.
type Diff[S, O any] func(desired, observed S) (O, bool)

// Pending is an order whose outcome is uncertain.
type Pending struct {
	Uncertain bool
	Until     time.Duration // when the order can no longer take effect
}

// Step is the decision of Next.
type Step uint8

// The possible steps.
const (
	Settled Step = iota // no order is needed, or the endpoint is executing one
	Wait                // an uncertain order may still take effect
	Act                 // send the returned order
)

// Next decides what to do after an observation made at now. It has no side effects.
func Next[S, O any](diff Diff[S, O], desired, observed S, pending Pending, now time.Duration) (Step, O) {
	order, differs := diff(desired, observed)
	switch {
	case !differs:
		return Settled, order
	case pending.Uncertain && now < pending.Until:
		return Wait, order
	}
	return Act, order
}

// Reconciler keeps one endpoint in the desired state. Any number of nodes may run one for the
// same endpoint: only the holder of the claim sends orders. An observation precedes each order
// and shows the outcome of an earlier uncertain order. The effect of a late order of an earlier
// holder is corrected within Interval plus the duration of a claim and of one order. All fields
// are required.
type Reconciler[S, O any] struct {
	Claimer  *Claimer
	Resource string
	TTL      time.Duration // of each claim
	Endpoint Endpoint[S, O]
	// Desired returns the state required by the newest accepted configuration known to this
	// node, or false if no configuration is known.
	Desired func() (S, bool)
	Diff    Diff[S, O]
	// Interval is the time between observations.
	Interval time.Duration
	// Settle is the longest time in which an order with an uncertain outcome can still take
	// effect; no further order is sent before that time has passed.
	Settle time.Duration

	claim   *Claim
	pending Pending
}

// Run observes and corrects the endpoint until ctx ends, and returns the cause.
func (r *Reconciler[S, O]) Run(ctx context.Context) error {
	defer r.releaseClaim()
	for ctx.Err() == nil {
		if !r.reconcileOnce(ctx) {
			r.Claimer.config.Clock.Sleep(ctx, r.Interval)
		}
	}
	return context.Cause(ctx)
}

// reconcileOnce makes one observation and sends an order or acquires the claim if needed. It
// returns true if the next observation should follow immediately.
func (r *Reconciler[S, O]) reconcileOnce(ctx context.Context) bool {
	desired, known := r.Desired()
	if !known {
		return false
	}
	observed, err := r.observe(ctx)
	if err != nil {
		return false
	}
	step, order := Next(r.Diff, desired, observed, r.pending, r.Claimer.config.Clock.Now())
	switch step {
	case Settled:
		r.releaseClaim()
		return false
	case Wait:
		return false
	}
	if r.claim == nil || !r.claim.Valid(r.Claimer.config.OrderTimeout) {
		return r.acquire(ctx)
	}
	return r.order(ctx, order)
}

func (r *Reconciler[S, O]) observe(ctx context.Context) (S, error) {
	bounded, cancel := context.WithTimeout(ctx, r.Claimer.config.OrderTimeout)
	defer cancel()
	return r.Endpoint.Observe(bounded)
}

// acquire tries to acquire the claim and returns true if it did. The earlier observation may
// then be out of date. It waits for at most the order timeout, since the current holder may
// establish the desired state.
func (r *Reconciler[S, O]) acquire(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, r.Claimer.config.OrderTimeout)
	defer cancel()
	claim, err := r.Claimer.Acquire(bounded, r.Resource, r.TTL)
	r.claim = claim
	return err == nil
}

// order sends an order under the claim. It returns true if the claim expires too soon and a new
// one is needed.
func (r *Reconciler[S, O]) order(ctx context.Context, order O) bool {
	bounded, cancel, err := r.claim.Order(ctx)
	if err != nil {
		return true
	}
	defer cancel()
	err = r.Endpoint.Order(bounded, r.claim.Token(), order)
	switch {
	case err == nil:
		r.pending = Pending{}
		return false
	case errors.Is(err, ErrStale):
		r.claim = nil
		return false
	}
	r.pending = Pending{Uncertain: true, Until: r.Claimer.config.Clock.Now() + r.Settle}
	return false
}

// releaseClaim releases the claim unless an order with an uncertain outcome may still take
// effect.
func (r *Reconciler[S, O]) releaseClaim() {
	now := r.Claimer.config.Clock.Now()
	if r.claim == nil || r.pending.Uncertain && now < r.pending.Until {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Claimer.config.OrderTimeout)
	defer cancel()
	if r.claim.Valid(0) {
		r.claim.Release(ctx) // expires if the release fails
	}
	r.claim = nil
}

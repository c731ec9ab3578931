package claim

import (
	"context"
	"errors"
	"time"
)

// Endpoint controls one endpoint. S is the type of its state, O the type of its orders. Orders
// are idempotent: each one names the desired state.
type Endpoint[S, O any] interface {
	// Observe returns the current state.
	Observe(ctx context.Context) (S, error)
	// Order sends an order. An error that wraps ErrStale means that the endpoint rejected the
	// token; after any other error the order may have taken effect, or may still take effect.
	Order(ctx context.Context, token int64, order O) error
}

// PlanOrder returns the next order that brings the observed state closer to the desired state,
// or false if no order is needed or the endpoint is still executing one. It must not have side
// effects.
type PlanOrder[S, O any] func(desired, observed S) (O, bool)

// Pending records whether the outcome of the latest order is uncertain.
type Pending struct {
	Uncertain bool
	Until     time.Duration // clock reading from which the order can no longer take effect
}

// Step is the step to take, as returned by Decide.
type Step uint8

const (
	NoOrder   Step = iota // no order is needed, or the endpoint is executing one
	Wait                  // an uncertain order may still take effect
	SendOrder             // send the returned order
)

// Decide returns the step to take after an observation that completed at time now. The returned
// order is valid only for SendOrder. Decide has no side effects.
func Decide[S, O any](plan PlanOrder[S, O], desired, observed S, pending Pending, now time.Duration) (Step, O) {
	order, needed := plan(desired, observed)
	switch {
	case !needed:
		return NoOrder, order
	case pending.Uncertain && now < pending.Until:
		return Wait, order
	}
	return SendOrder, order
}

// Reconciler keeps one endpoint in the desired state. Any number of nodes may run one for the
// same endpoint: only the holder of the claim sends orders. An observation precedes each order
// and shows the outcome of an earlier uncertain order. The effect of a late order of an earlier
// holder is corrected within Interval plus the duration, margin and grace period of a claim and
// the duration of one order, while the log is available. All fields are required.
type Reconciler[S, O any] struct {
	Claimer  *Claimer
	Resource string
	TTL      time.Duration // of each claim
	Endpoint Endpoint[S, O]
	// Desired returns the state required by the newest accepted configuration that this
	// process has received, or false if it has received none.
	Desired func() (S, bool)
	Plan    PlanOrder[S, O]
	// Interval is the time between observations.
	Interval time.Duration
	// MaxEffectDelay is the longest time in which an order with an uncertain outcome can still
	// take effect; no further order is sent before that time has passed.
	MaxEffectDelay time.Duration

	claim   *Claim
	pending Pending
}

// Run observes and corrects the endpoint until ctx ends, and returns context.Cause(ctx).
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
	desired, ok := r.Desired()
	if !ok {
		return false
	}
	observed, err := r.observe(ctx)
	if err != nil {
		return false
	}
	step, order := Decide(r.Plan, desired, observed, r.pending, r.Claimer.config.Clock.Now())
	switch step {
	case NoOrder:
		r.releaseClaim()
		return false
	case Wait:
		return false
	}
	if r.claim == nil || !r.claim.Valid(r.Claimer.config.OrderTimeout) {
		return r.acquire(ctx)
	}
	return r.sendOrder(ctx, order)
}

func (r *Reconciler[S, O]) observe(ctx context.Context) (S, error) {
	bounded, cancel := context.WithTimeout(ctx, r.Claimer.config.OrderTimeout)
	defer cancel()
	return r.Endpoint.Observe(bounded)
}

// acquire tries to acquire the claim and returns true if it did. The earlier observation may
// then be out of date. It waits for at most the order timeout; then the endpoint is observed
// again, since the current holder may have corrected it.
func (r *Reconciler[S, O]) acquire(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, r.Claimer.config.OrderTimeout)
	defer cancel()
	claim, err := r.Claimer.Acquire(bounded, r.Resource, r.TTL)
	r.claim = claim
	return err == nil
}

// sendOrder sends an order under the claim. It returns true if the claim expires too soon and a
// new one is needed.
func (r *Reconciler[S, O]) sendOrder(ctx context.Context, order O) bool {
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
	r.pending = Pending{Uncertain: true, Until: r.Claimer.config.Clock.Now() + r.MaxEffectDelay}
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
		r.claim.Release(ctx) // if the release fails, the claim expires
	}
	r.claim = nil
}

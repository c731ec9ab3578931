package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNotValid is returned when the remaining time of a claim is too short for the operation,
// when the claim was released, or when a later claim has replaced it.
var ErrNotValid = errors.New("claim: no longer valid")

// ErrLate is returned by Resume when the new claim was granted too late to send an order under it.
var ErrLate = errors.New("claim: granted too late")

// Claim is the exclusive right to send orders for a resource until the claim expires or is
// released.
type Claim struct {
	claimer  *Claimer
	id       string
	resource string
	token    int64
	expires  time.Duration // reading of the claimer's clock
	released atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc

	renewalsMu sync.Mutex
	renewals   []string // IDs of the records that were sent to renew the claim
}

func newClaim(c *Claimer, a attempt, offset int64, ttl time.Duration) *Claim {
	return &Claim{
		claimer:  c,
		id:       a.id,
		resource: a.resource,
		token:    offset,
		expires:  a.start + ttl,
	}
}

// startContext creates the claim's context and cancels it when the remaining time falls to the
// order timeout.
func (c *Claim) startContext() {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	go func() {
		defer c.cancel()
		c.claimer.config.Clock.Sleep(c.ctx, c.Remaining()-c.claimer.config.OrderTimeout)
	}()
}

// Token returns the fencing token. Each new claim of a resource has a higher token than the one
// before.
func (c *Claim) Token() int64 { return c.token }

// Resource returns the name of the claimed resource or slot.
func (c *Claim) Resource() string { return c.resource }

// Remaining returns the time until the claim expires; it is negative after that.
func (c *Claim) Remaining() time.Duration {
	return c.expires - c.claimer.config.Clock.Now()
}

// Valid reports whether the claim was not released and remains in effect for longer than margin.
func (c *Claim) Valid(margin time.Duration) bool {
	return !c.released.Load() && c.Remaining() > margin
}

// Context returns a context that is canceled when the claim is released or its remaining time
// falls to the order timeout; no order may start after that. It is independent of the context
// passed to Acquire.
func (c *Claim) Context() context.Context { return c.ctx }

// Order returns a context for one order, derived from ctx and limited by the order timeout. It
// returns ErrNotValid if the order could outlast the claim or the claim was released.
func (c *Claim) Order(ctx context.Context) (context.Context, context.CancelFunc, error) {
	timeout := c.claimer.config.OrderTimeout
	if !c.Valid(timeout) {
		return nil, nil, ErrNotValid
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	return bounded, cancel, nil
}

// Release ends the claim, so that contenders need not wait until it expires. The claim is
// invalid in this process from the call on, whether or not the append succeeds. After an error
// contenders may wait as if it had not been released, and Release may be called again. A holder whose last order has an
// uncertain outcome should let the claim expire instead, so that the grace period protects the
// next holder.
func (c *Claim) Release(ctx context.Context) error {
	c.released.Store(true)
	c.cancel()
	e := recordContent{Kind: kindRelease, ID: c.id, Resource: c.resource, Holder: c.claimer.config.Holder}
	_, err := c.claimer.config.Log.Append(ctx, e.encode())
	return err
}

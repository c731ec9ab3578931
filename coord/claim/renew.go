package claim

import (
	"context"
	"crypto/rand"
	"time"
)

// Renew acquires a new claim of the resource before the held claim expires, and returns it. The
// new claim has a higher token. The held claim stays valid until its own expiry. The ttl has the
// same limits as that of Acquire but is not checked.
//
// Renew returns ErrNotValid if the held claim was released, expired or was replaced by another
// claim, and the error of the first log read if that fails. It returns context.Cause(ctx) if the
// outcome could not be read from the log before ctx ended; the held claim then stays valid until
// its own expiry, but a second call may return ErrNotValid because the record of the first call
// took effect.
//
// Only the holder can renew: the new record is based on a read that includes the held claim.
// Contenders append a record based on such a read only after the held claim has expired.
func (c *Claimer) Renew(ctx context.Context, held *Claim, ttl time.Duration) (*Claim, error) {
	if !held.Valid(0) {
		return nil, ErrNotValid
	}
	a := attempt{id: rand.Text(), resource: held.resource, start: c.config.Clock.Now()}
	readOffset, err := c.confirm(ctx, func() bool { return c.view.isNewest(held) })
	if err != nil {
		return nil, err
	}
	c.append(ctx, a, readOffset, ttl)
	return c.awaitOutcome(ctx, func() (won *Claim, err error) {
		current := ""
		readErr := c.withCurrentView(ctx, func() {
			won = c.wonClaim([]attempt{a}, ttl)
			current = c.view.resource(held.resource).current.id
		})
		if won == nil && readErr == nil && current != held.id {
			err = ErrNotValid
		}
		return won, err
	})
}

// awaitOutcome calls read until it returns a claim or an error, and returns context.Cause(ctx) once ctx has ended.
func (c *Claimer) awaitOutcome(ctx context.Context, read func() (*Claim, error)) (*Claim, error) {
	for ctx.Err() == nil {
		won, err := read()
		if won != nil || err != nil {
			return won, err
		}
		c.config.Clock.Sleep(ctx, c.config.Poll)
	}
	return nil, context.Cause(ctx)
}

// confirm reads the log and returns the offset at which the next read starts. It returns ErrNotValid if isHolder,
// which is called with the view of that read, reports that the caller may not be the holder any more.
func (c *Claimer) confirm(ctx context.Context, isHolder func() bool) (int64, error) {
	readOffset := int64(-1)
	err := c.withCurrentView(ctx, func() {
		if isHolder() {
			readOffset = c.view.nextOffset
		}
	})
	if err != nil {
		return 0, err
	}
	if readOffset < 0 {
		return 0, ErrNotValid
	}
	return readOffset, nil
}

// isNewest reports whether a claim is the newest of its resource and was not released.
func (v *view) isNewest(held *Claim) bool {
	r := v.resource(held.resource)
	return r.current != nil && r.current.id == held.id && !r.current.released
}

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
	readOffset, err := c.confirmNewest(ctx, held)
	if err != nil {
		return nil, err
	}
	c.append(ctx, a, readOffset, ttl)
	for ctx.Err() == nil {
		var won *Claim
		current := ""
		err := c.withCurrentView(ctx, func() {
			won = c.wonClaim([]attempt{a}, ttl)
			current = c.view.resource(held.resource).current.id
		})
		switch {
		case won != nil:
			return won, nil
		case err == nil && current != held.id:
			return nil, ErrNotValid
		}
		c.config.Clock.Sleep(ctx, c.config.Poll)
	}
	return nil, context.Cause(ctx)
}

// confirmNewest reads the log and returns the offset at which the next read starts. It returns
// ErrNotValid if the held claim was released or is no longer the newest claim of its resource.
func (c *Claimer) confirmNewest(ctx context.Context, held *Claim) (int64, error) {
	readOffset := int64(-1)
	err := c.withCurrentView(ctx, func() {
		r := c.view.resource(held.resource)
		if r.current != nil && r.current.id == held.id && !r.current.released {
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

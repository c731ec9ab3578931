package claim

import (
	"context"
	"crypto/rand"
	"time"
)

// Renew acquires a new claim of the resource before the held claim expires, and returns it. Its
// token is higher. The held claim stays valid until its own expiry. Renew returns ErrExpired if
// the held claim was released, expired or was replaced by another claim. It returns the cause
// of the end of ctx if the outcome could not be read from the log in time; the held claim is
// then still in effect, but a second call may return ErrExpired because a record of the first
// call took effect.
//
// Only the holder can renew: the new record is based on a read that includes the held claim,
// which contenders may use only after that claim has expired.
func (c *Claimer) Renew(ctx context.Context, held *Claim, ttl time.Duration) (*Claim, error) {
	if !held.Valid(0) {
		return nil, ErrExpired
	}
	a := attempt{id: rand.Text(), resource: held.resource, start: c.config.Clock.Now()}
	readOffset, err := c.confirmNewest(ctx, held)
	if err != nil {
		return nil, err
	}
	c.append(ctx, a, readOffset, ttl)
	for ctx.Err() == nil {
		var wonClaim *Claim
		current := ""
		err := c.withCurrentView(ctx, func() {
			wonClaim = c.wonClaim([]attempt{a}, ttl)
			current = c.view.resource(held.resource).current.id
		})
		switch {
		case wonClaim != nil:
			return wonClaim, nil
		case err == nil && current != held.id:
			return nil, ErrExpired
		}
		c.config.Clock.Sleep(ctx, c.config.Poll)
	}
	return nil, context.Cause(ctx)
}

// confirmNewest reads the log and returns the offset up to which it was read. It returns
// ErrExpired if the held claim was released or is no longer the newest claim of its resource.
func (c *Claimer) confirmNewest(ctx context.Context, held *Claim) (int64, error) {
	readOffset := int64(-1)
	err := c.withCurrentView(ctx, func() {
		r := c.view.resource(held.resource)
		if r.current != nil && r.current.id == held.id && !r.current.released {
			readOffset = c.view.position
		}
	})
	if err != nil {
		return 0, err
	}
	if readOffset < 0 {
		return 0, ErrExpired
	}
	return readOffset, nil
}

package claim

import (
	"context"
	"crypto/rand"
	"time"
)

// Renew claims the resource of a held claim once more, before that runs out, and
// returns the new claim with a higher token. The old one stays valid for its own
// time. It fails with ErrExpired where another claim took effect since, and with
// ctx's error where the log doesn't tell in time; then the old claim still holds,
// and calling again may find the new one lost to an own record of the first call.
//
// Only the holder may renew: the record is based on having seen the own claim,
// which no contender may do before that claim is over.
func (c *Claimer) Renew(ctx context.Context, held *Claim, ttl time.Duration) (*Claim, error) {
	if !held.Valid(0) {
		return nil, ErrExpired
	}
	a := attempt{id: rand.Text(), resource: held.resource, start: c.config.Clock.Now()}
	seen, err := c.seenOwn(ctx, held)
	if err != nil {
		return nil, err
	}
	c.append(ctx, a, seen, ttl)
	for ctx.Err() == nil {
		var won *Claim
		current := ""
		err := c.read(ctx, func() {
			won = c.won([]attempt{a}, ttl)
			current = c.view.resource(held.resource).current.id
		})
		switch {
		case won != nil:
			return won, nil
		case err == nil && current != held.id:
			return nil, ErrExpired
		}
		c.config.Clock.Sleep(ctx, c.config.Poll)
	}
	return nil, context.Cause(ctx)
}

// seenOwn returns the offset up to which the log was read, if the held claim is
// still the newest.
func (c *Claimer) seenOwn(ctx context.Context, held *Claim) (int64, error) {
	seen := int64(-1)
	err := c.read(ctx, func() {
		r := c.view.resource(held.resource)
		if r.current != nil && r.current.id == held.id && !r.current.released {
			seen = c.view.position
		}
	})
	if err != nil {
		return 0, err
	}
	if seen < 0 {
		return 0, ErrExpired
	}
	return seen, nil
}

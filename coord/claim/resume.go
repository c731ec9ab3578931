package claim

import (
	"context"
	"crypto/rand"
	"slices"
	"time"
)

// Resume acquires a new claim like Renew, also if the held claim has expired. The holder does not wait for the
// grace period of its own claim, since contenders wait for it and the log decides between their records and
// this one. Orders under the held claim may still take effect; the holder must tolerate them as it tolerates
// its own orders under a renewed claim.
//
// Resume returns ErrNotValid if the held claim was released, if another claim may have taken effect since, or if
// the log may have lost records; only Acquire can help then. It returns ErrLate if the new claim was granted too
// late to send an order under it; other contenders wait for that claim, and Resume may be called again. After
// any other error Resume may be called again too: unlike Renew it recognizes records of its earlier calls.
//
// A holder should give up if it stays without a usable claim, since each call can delay other contenders.
func (c *Claimer) Resume(ctx context.Context, held *Claim, ttl time.Duration) (*Claim, error) {
	if held.released.Load() {
		return nil, ErrNotValid
	}
	a := attempt{id: rand.Text(), resource: held.resource, start: c.config.Clock.Now()}
	readOffset, err := c.confirm(ctx, func() bool { return c.view.ownsNewest(held) })
	if err != nil {
		return nil, err
	}
	held.addRenewal(a.id)
	c.append(ctx, a, readOffset, ttl)
	return c.awaitOutcome(ctx, func() (*Claim, error) { return c.readResumed(ctx, held, a, readOffset, ttl) })
}

// readResumed reads the log after an attempt to resume a claim. It returns neither a claim nor an error as long as
// the outcome is open.
func (c *Claimer) readResumed(ctx context.Context, held *Claim, a attempt, readOffset int64, ttl time.Duration) (won *Claim, err error) {
	c.withCurrentView(ctx, func() {
		won = c.wonClaim([]attempt{a}, ttl)
		switch {
		case won != nil:
		case !c.view.ownsNewest(held):
			err = ErrNotValid
		case c.view.resource(held.resource).current.offset >= readOffset:
			err = ErrLate // this attempt or an earlier one
		}
	})
	return won, err
}

// ownsNewest reports whether the newest claim of a resource is the held one or a renewal of it. Once the held claim
// has expired, other claims may have been granted that the log doesn't show any more.
func (v *view) ownsNewest(held *Claim) bool {
	r := v.resource(held.resource)
	if r.current == nil || r.current.released || !held.isOwn(r.current.id) {
		return false
	}
	if held.Valid(0) {
		return true
	}
	uncertain := max(r.uncertainUntil, v.lostUntil) > v.clock.Now()
	return !uncertain && v.contiguousFrom <= r.current.offset
}

func (c *Claim) addRenewal(id string) {
	c.renewalsMu.Lock()
	defer c.renewalsMu.Unlock()
	c.renewals = append(c.renewals, id)
}

// isOwn reports whether an ID is that of the claim or of a record that was sent to renew it.
func (c *Claim) isOwn(id string) bool {
	c.renewalsMu.Lock()
	defer c.renewalsMu.Unlock()
	return id == c.id || slices.Contains(c.renewals, id)
}

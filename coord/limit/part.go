package limit

import "time"

// lenderParts is a lender's record of the parts of one account and kind (rates
// or run slots) that it has leased or requested.
type lenderParts struct {
	// lease is the duration of a lease from the lender to a borrower, and
	// partLease that of a lease from a keeper to the lender.
	lease, partLease, drift time.Duration
	byKeeper                map[NodeID]*lenderPart
}

// lenderPart is a part that the lender has leased or requested.
type lenderPart struct {
	until       time.Time
	requestedAt time.Time
	// seq is the sequence number of the pending request, or zero if none is pending.
	seq uint64
}

// lendableUntil returns the time until which the lender may grant leases from
// the part: they must end before the lease of the part does.
func (p *lenderParts) lendableUntil(part *lenderPart) time.Time {
	return part.until.Add(-p.lease - p.drift)
}

// countLendable returns the number of parts from which the lender may grant a
// lease now.
func (p *lenderParts) countLendable(now time.Time) int {
	var n int
	for _, part := range p.byKeeper {
		if now.Before(p.lendableUntil(part)) {
			n++
		}
	}
	return n
}

// lendableTime returns the sum over all parts of the time between since and now
// during which the part was lendable.
func (p *lenderParts) lendableTime(since, now time.Time) time.Duration {
	var sum time.Duration
	for _, part := range p.byKeeper {
		end := p.lendableUntil(part)
		if now.Before(end) {
			end = now
		}
		sum += max(end.Sub(since), 0)
	}
	return sum
}

// shouldRequest reports whether to request the part of keeper now: the part is
// missing or will stop being lendable within half a lease, and no request is
// pending.
func (p *lenderParts) shouldRequest(now time.Time, keeper NodeID) bool {
	part, ok := p.byKeeper[keeper]
	if !ok {
		return true
	}
	if part.seq != 0 && now.Sub(part.requestedAt) < grantTimeout {
		return false
	}
	return now.Add(p.lease / 2).After(p.lendableUntil(part))
}

// recordRequest records that request seq for the part of keeper is being sent.
func (p *lenderParts) recordRequest(now time.Time, keeper NodeID, seq uint64) {
	part, ok := p.byKeeper[keeper]
	if !ok {
		part = &lenderPart{}
		p.byKeeper[keeper] = part
	}
	part.requestedAt = now
	part.seq = seq
}

// recordGrant records that keeper granted request seq. It returns false if seq
// is not the pending request.
func (p *lenderParts) recordGrant(keeper NodeID, seq uint64) bool {
	part, ok := p.byKeeper[keeper]
	if !ok || part.seq != seq {
		return false
	}
	part.until = part.requestedAt.Add(p.partLease)
	part.seq = 0
	return true
}

// removeExpired removes the parts whose lease has expired, and reports whether
// none is left.
func (p *lenderParts) removeExpired(now time.Time) (empty bool) {
	for keeper, part := range p.byKeeper {
		if now.After(part.until) && now.Sub(part.requestedAt) > p.partLease {
			delete(p.byKeeper, keeper)
		}
	}
	return len(p.byKeeper) == 0
}

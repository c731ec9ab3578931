package limit

import "time"

// heldParts holds the parts of one account and kind (rates or run slots) that a
// lender has leased or requested, by keeper.
type heldParts struct {
	// lease is the duration of a lease from the lender to a borrower, and
	// partLease that of a lease from a keeper to the lender.
	lease, partLease, drift time.Duration
	held                    map[NodeID]*heldPart
}

// heldPart is a part that the lender has leased or requested.
type heldPart struct {
	until   time.Time
	askedAt time.Time
	// seq is the number of the pending request, or zero if none is pending.
	seq uint64
}

// coversUntil returns the time until which the lender may grant leases from the
// part: they must end before the lease of the part does.
func (h *heldParts) coversUntil(part *heldPart) time.Time {
	return part.until.Add(-h.lease - h.drift)
}

// countCovering returns the number of parts that cover a lease granted now.
func (h *heldParts) countCovering(now time.Time) int {
	var n int
	for _, part := range h.held {
		if now.Before(h.coversUntil(part)) {
			n++
		}
	}
	return n
}

// coveredTime returns the sum over all parts of the time between since and now
// during which the part covered leases.
func (h *heldParts) coveredTime(since, now time.Time) time.Duration {
	var sum time.Duration
	for _, part := range h.held {
		end := h.coversUntil(part)
		if now.Before(end) {
			end = now
		}
		sum += max(end.Sub(since), 0)
	}
	return sum
}

// shouldRequest reports whether to request the part of keeper now: it is missing
// or will stop covering leases within half a lease, and no request is pending.
func (h *heldParts) shouldRequest(now time.Time, keeper NodeID) bool {
	part, ok := h.held[keeper]
	if !ok {
		return true
	}
	if part.seq != 0 && now.Sub(part.askedAt) < grantTimeout {
		return false
	}
	return now.Add(h.lease / 2).After(h.coversUntil(part))
}

// recordRequest records that request seq for the part of keeper is being sent.
func (h *heldParts) recordRequest(now time.Time, keeper NodeID, seq uint64) {
	part, ok := h.held[keeper]
	if !ok {
		part = &heldPart{}
		h.held[keeper] = part
	}
	part.askedAt = now
	part.seq = seq
}

// recordGrant records that keeper granted request seq. It returns false if seq
// is not the pending request.
func (h *heldParts) recordGrant(keeper NodeID, seq uint64) bool {
	part, ok := h.held[keeper]
	if !ok || part.seq != seq {
		return false
	}
	part.until = part.askedAt.Add(h.partLease)
	part.seq = 0
	return true
}

// removeExpired removes the parts whose lease has expired, and reports whether
// none is left.
func (h *heldParts) removeExpired(now time.Time) (empty bool) {
	for keeper, part := range h.held {
		if now.After(part.until) && now.Sub(part.askedAt) > h.partLease {
			delete(h.held, keeper)
		}
	}
	return len(h.held) == 0
}

package brittle

import (
	"math"
	"sync"
	"time"
)

const (
	// refusalWindow is the time for which a refusal counts: the second for which an endpoint counts it, and
	// the largest difference of the delays of two requests.
	refusalWindow = 1100 * time.Millisecond
	// settleAfter is the time after which a request that was not refused counts as accepted. Refusals for
	// want of room come at once.
	settleAfter = 50 * time.Millisecond
	// loanLifetime is the time after which a slot whose borrower is gone is free again, and renewInterval
	// the time between two renewals.
	loanLifetime  = 3 * time.Second
	renewInterval = time.Second
	// minDenial and maxDenial bound the time after which a claim that was denied may be repeated.
	minDenial = 5 * time.Millisecond
	maxDenial = 200 * time.Millisecond
	// initialMeanLoan is the assumed duration of a loan before one has ended, and meanLoanWeight the weight of
	// the latest one in the mean.
	initialMeanLoan = 100 * time.Millisecond
	meanLoanWeight  = 0.1
	// reportAge is the age up to which other nodes' loads are known.
	reportAge = 250 * time.Millisecond
	// recoverySlots is the number of slots per second by which a lender raises the number that it lends
	// after a refusal.
	recoverySlots = 1.0
	// The last slots of an endpoint, one in scarceShare, are lent one after the other.
	scarceShare = 8
	// maxTracked is the number of endpoints at which those without loans are removed before another one is
	// added.
	maxTracked = 1024
)

// Claim asks the lender of an endpoint for a slot.
type Claim struct {
	Lease string `json:"lease"` // unique among all nodes
	// Endpoint is the id of the endpoint, and StartedMs its start in Unix milliseconds, 0 if unknown.
	Endpoint  string `json:"endpoint"`
	StartedMs int64  `json:"born,omitempty"`
	Slots     int    `json:"slots"`    // of the endpoint; 0 if unknown
	Refusals  int    `json:"refusals"` // per second that it bears
	// Tokens is what the request will hold in the endpoint's memory, and Capacity the size of that memory;
	// 0 if unknown.
	Tokens   int `json:"tokens,omitempty"`
	Capacity int `json:"capacity,omitempty"`
	// Renews is true if the borrower has the slot already, perhaps from another lender.
	Renews bool `json:"renews,omitempty"`
}

// Load is what is known to run at an endpoint.
type Load struct{ Running, HeldTokens int }

// Lender lends the slots of endpoints. The zero value has lent none. It is safe for concurrent use.
type Lender struct {
	mu        sync.Mutex
	endpoints map[start]*endpointLoans
}

// start is one start of an endpoint.
type start struct {
	id        string
	startedMs int64
}

// endpointLoans are the loans at one start of an endpoint.
type endpointLoans struct {
	loans   map[string]loan // by lease
	refused []time.Time     // refusals within refusalWindow
	// lendable is the number of slots that were accepted when the endpoint last refused a request, and
	// accepted the number of loans that ended since.
	lendable, accepted int
	meanLoan           time.Duration // mean duration of loans
	retryAt            time.Time     // until when the claims that were denied last were told to wait
}

// loan is a slot that is lent.
type loan struct {
	tokens  int
	at      time.Time
	expires time.Time
}

// Lend lends a slot for a claim, if one is free. load is what is known to run at the endpoint, including what
// was sent without a loan. Otherwise it returns the time after which the claim may be repeated.
func (l *Lender) Lend(c *Claim, load Load, now time.Time) (granted bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(start{c.Endpoint, c.StartedMs}, now)
	e.expire(now)
	if _, held := e.loans[c.Lease]; held || c.Renews {
		e.renew(c, now)
		return true, 0
	}
	if !e.hasRoom(c, load, now) {
		return false, e.nextRetry(c, now)
	}
	if wait := e.refusalWait(c, now); wait > 0 {
		return false, wait
	}
	if e.isRisky(c, load, now) {
		return false, e.nextRetry(c, now)
	}
	e.loans[c.Lease] = loan{tokens: c.Tokens, at: now, expires: now.Add(loanLifetime)}
	return true, 0
}

// Return ends a loan. refused is true if the endpoint refused the request for want of room.
func (l *Lender) Return(endpoint string, startedMs int64, lease string, refused bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(start{endpoint, startedMs}, now)
	ended, held := e.loans[lease]
	delete(e.loans, lease)
	switch {
	case !held:
	case refused:
		e.lendable, e.accepted = len(e.loans)-e.unsettled(now), 0
		e.refused = append(e.refused, now)
	default:
		e.accepted++
		if !ended.at.IsZero() {
			e.meanLoan += time.Duration(meanLoanWeight * float64(now.Sub(ended.at)-e.meanLoan))
		}
	}
}

// endpoint returns the loans at a start of an endpoint.
func (l *Lender) endpoint(s start, now time.Time) *endpointLoans {
	if e := l.endpoints[s]; e != nil {
		return e
	}
	if l.endpoints == nil {
		l.endpoints = make(map[start]*endpointLoans)
	}
	if len(l.endpoints) >= maxTracked {
		for other, e := range l.endpoints {
			if e.expire(now); len(e.loans) == 0 && len(e.recentRefusals(now)) == 0 {
				delete(l.endpoints, other)
			}
		}
	}
	e := &endpointLoans{loans: make(map[string]loan), meanLoan: initialMeanLoan}
	l.endpoints[s] = e
	return e
}

// renew extends a loan, or takes over one that another lender has made.
func (e *endpointLoans) renew(c *Claim, now time.Time) {
	held, known := e.loans[c.Lease]
	if !known {
		held = loan{tokens: c.Tokens}
	}
	held.expires = now.Add(loanLifetime)
	e.loans[c.Lease] = held
}

// expire removes loans that were not renewed. Refusals that no longer count are removed but for the last,
// since which the number of lendable slots rises.
func (e *endpointLoans) expire(now time.Time) {
	for lease, l := range e.loans {
		if now.After(l.expires) {
			delete(e.loans, lease)
		}
	}
	for len(e.refused) > 1 && now.Sub(e.refused[0]) > refusalWindow {
		e.refused = e.refused[1:]
	}
}

// hasRoom reports whether the endpoint has a free slot, and memory for the request.
func (e *endpointLoans) hasRoom(c *Claim, load Load, now time.Time) bool {
	if e.inUse(load) >= e.limit(c, now) {
		return false
	}
	if c.Capacity <= 0 {
		return true
	}
	held := 0
	for _, l := range e.loans {
		held += l.tokens
	}
	return max(held, load.HeldTokens)+c.Tokens <= c.Capacity
}

// inUse returns the number of slots that are taken: those that are lent, or as many as are known to run if they
// are more. Where loans are shorter than reportAge, what is known has ended, and tells only a lender that has
// just taken over.
func (e *endpointLoans) inUse(load Load) int {
	if e.accepted > 0 && e.meanLoan < reportAge {
		return len(e.loans)
	}
	return max(len(e.loans), load.Running)
}

// limit returns the number of slots that may be lent: all of the endpoint's, or as many as it accepted when it
// last refused a request, and recoverySlots more for each second since.
func (e *endpointLoans) limit(c *Claim, now time.Time) int {
	slots := c.Slots
	if slots <= 0 {
		slots = math.MaxInt
	}
	if len(e.refused) == 0 {
		return slots
	}
	since := now.Sub(e.refused[len(e.refused)-1]).Seconds()
	return min(slots, max(e.lendable, 1)+int(recoverySlots*since))
}

// budget returns the number of refusals per second that are granted to this lender.
func (c *Claim) budget() int { return max(c.Refusals/2, 1) }

// refusalWait returns the time until the endpoint may refuse another request; 0 if it may now.
func (e *endpointLoans) refusalWait(c *Claim, now time.Time) time.Duration {
	recent := e.recentRefusals(now)
	if len(recent) < c.budget() {
		return 0
	}
	return recent[0].Add(refusalWindow).Sub(now) + time.Millisecond
}

// isRisky reports whether too many requests might be refused if one more were sent now. Requests that may still
// be refused are as many as the budget, and one more for each that the endpoint accepted since its last
// refusal, unless slots are scarce.
func (e *endpointLoans) isRisky(c *Claim, load Load, now time.Time) bool {
	unsettled := e.unsettled(now)
	atRisk := len(e.recentRefusals(now)) + unsettled
	if !e.isScarce(c, load, now) {
		atRisk -= e.accepted + len(e.loans) - unsettled
	}
	return atRisk >= c.budget()
}

// nextRetry returns when a denied claim may be repeated. Claims are denied until the next slots are expected to
// be free, one after the other, so that all nodes together ask about as often as slots become free.
func (e *endpointLoans) nextRetry(c *Claim, now time.Time) time.Duration {
	slots := min(max(e.limit(c, now), 1), len(e.loans)+1)
	if e.retryAt.Before(now) {
		e.retryAt = now
	}
	e.retryAt = e.retryAt.Add(e.meanLoan / time.Duration(slots))
	return min(max(e.retryAt.Sub(now), minDenial), maxDenial)
}

// isScarce reports whether the endpoint is near the number of slots that may be lent, or still recovers from a
// refusal.
func (e *endpointLoans) isScarce(c *Claim, load Load, now time.Time) bool {
	limit := e.limit(c, now)
	if len(e.refused) > 0 && (c.Slots <= 0 || limit < c.Slots) {
		return true
	}
	return e.inUse(load) >= limit-max(limit/scarceShare, 1)
}

// recentRefusals returns the refusals that still count.
func (e *endpointLoans) recentRefusals(now time.Time) []time.Time {
	first := len(e.refused)
	for first > 0 && now.Sub(e.refused[first-1]) <= refusalWindow {
		first--
	}
	return e.refused[first:]
}

// unsettled returns the number of requests that may still be refused.
func (e *endpointLoans) unsettled(now time.Time) int {
	count := 0
	for _, l := range e.loans {
		if now.Sub(l.at) < settleAfter {
			count++
		}
	}
	return count
}

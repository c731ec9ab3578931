package limit

import (
	"math"
	"time"
)

// NodeID is the ID of a node in the roster, the list of member nodes.
type NodeID string

// Limit is an account's limit. A zero field is unlimited.
type Limit struct {
	// Requests is the number of requests per second.
	Requests float64
	// Tokens is the number of tokens per second, prompt and answer together.
	Tokens float64
	// Runs is the maximum number of requests that run at the same time.
	Runs int
}

// Amount is a quantity of requests and tokens, the resources that a Limit bounds
// by rate.
type Amount struct {
	Requests float64 `json:"r,omitempty"`
	Tokens   float64 `json:"t,omitempty"`
}

func (a Amount) add(b Amount) Amount {
	return Amount{a.Requests + b.Requests, a.Tokens + b.Tokens}
}

func (a Amount) sub(b Amount) Amount {
	return Amount{a.Requests - b.Requests, a.Tokens - b.Tokens}
}

func (a Amount) scale(f float64) Amount {
	return Amount{a.Requests * f, a.Tokens * f}
}

// minWith returns the field-wise minimum of a and b.
func (a Amount) minWith(b Amount) Amount {
	return Amount{min(a.Requests, b.Requests), min(a.Tokens, b.Tokens)}
}

// maxWith returns the field-wise maximum of a and b.
func (a Amount) maxWith(b Amount) Amount {
	return Amount{max(a.Requests, b.Requests), max(a.Tokens, b.Tokens)}
}

// ceil returns a rounded up to integers, which keeps messages short.
func (a Amount) ceil() Amount {
	return Amount{math.Ceil(a.Requests), math.Ceil(a.Tokens)}
}

// covers reports whether both fields of a are at least those of b.
func (a Amount) covers(b Amount) bool {
	return a.Requests >= b.Requests && a.Tokens >= b.Tokens
}

// shortfallReason returns the reason to refuse the charge b when the available
// amount a does not cover it.
func (a Amount) shortfallReason(b Amount) Reason {
	if a.Requests < b.Requests {
		return RequestLimitReached
	}
	return TokenLimitReached
}

// secondsToAccrue returns the time in seconds in which a accrues at the given rate
// per second. It is infinite if the rate of a field above zero is zero.
func (a Amount) secondsToAccrue(rate Amount) float64 {
	var longest float64
	if a.Requests > 0 {
		longest = a.Requests / rate.Requests
	}
	if a.Tokens > 0 {
		longest = max(longest, a.Tokens/rate.Tokens)
	}
	return longest
}

// rate returns the limit's amount per second.
func (l Limit) rate() Amount { return Amount{l.Requests, l.Tokens} }

// limitedFields returns a copy of a in which the fields without a limit are zero.
func (l Limit) limitedFields(a Amount) Amount {
	if l.Requests == 0 {
		a.Requests = 0
	}
	if l.Tokens == 0 {
		a.Tokens = 0
	}
	return a
}

// clamp returns a with each limited field reduced to at most the limit's rate.
func (l Limit) clamp(a Amount) Amount {
	if l.Requests > 0 {
		a.Requests = min(a.Requests, l.Requests)
	}
	if l.Tokens > 0 {
		a.Tokens = min(a.Tokens, l.Tokens)
	}
	return a
}

// Settings configures the division of the limits. It must be the same on all
// nodes; while it differs, the bounds hold only for the most permissive of the
// settings in use.
type Settings struct {
	// Nodes is the maximum number of nodes that run at the same time.
	Nodes int
	// Parts is the number of keepers of each account's pool. While a keeper is
	// dead and still in the roster, 1/Parts of the pool is unavailable.
	Parts int
	// StaticShare is the fraction of each limit that is divided evenly among
	// the nodes.
	StaticShare float64
	// Lease is how long a borrowed amount may be used.
	Lease time.Duration
	// RunLease is how long borrowed run slots may be used without renewal. A
	// longer lease needs fewer messages, but a lender that takes over an account
	// must wait longer before it can lend run slots.
	RunLease time.Duration
	// Burst is the maximum time for which an unused pool accrues.
	Burst time.Duration
	// StaticBurst is the maximum time for which an unused static share accrues.
	// On large fleets it determines whether a share ever covers one request.
	StaticBurst time.Duration
	// Drift is the maximum by which the durations measured by two nodes differ
	// during a part lease (PartLease or RunPartLease).
	Drift time.Duration
}

// DefaultSettings returns settings for a fleet of at most the given number of
// nodes.
func DefaultSettings(nodes int) Settings {
	return Settings{
		Nodes:       nodes,
		Parts:       min(nodes, 5),
		StaticShare: 0.2,
		Lease:       3 * time.Second,
		RunLease:    10 * time.Second,
		Burst:       2 * time.Second,
		StaticBurst: 2 * time.Second,
		Drift:       20 * time.Millisecond,
	}
}

// PartLease returns how long a keeper leases a part of the rates to a lender.
// The lender uses the part only while the rest of this lease covers a whole
// lease to a borrower.
func (s Settings) PartLease() time.Duration { return 2 * s.Lease }

// RunPartLease returns how long a keeper leases a part of the run slots to a
// lender. The lender uses the part only while the rest of this lease covers a
// whole RunLease.
func (s Settings) RunPartLease() time.Duration { return 2 * s.RunLease }

// Excess returns the maximum by which the admitted amount in any time window
// exceeds rate*window.
func (s Settings) Excess(rate float64) float64 {
	lent := (1 - s.StaticShare) * (s.Lease + s.Burst).Seconds()
	static := s.StaticShare * s.StaticBurst.Seconds()
	return rate * (lent + static)
}

// staticRate returns the amount per second that one node may always use.
func (s Settings) staticRate(l Limit) Amount {
	return l.rate().scale(s.StaticShare / float64(s.Nodes))
}

// staticDepth returns the maximum amount that a static share accrues.
func (s Settings) staticDepth(l Limit) Amount {
	return s.staticRate(l).scale(s.StaticBurst.Seconds())
}

// staticRuns returns the number of run slots that one node may always use.
func (s Settings) staticRuns(l Limit) int {
	return int(s.StaticShare * float64(l.Runs) / float64(s.Nodes))
}

// partRate returns the amount per second of one part of the pool.
func (s Settings) partRate(l Limit) Amount {
	return l.rate().scale((1 - s.StaticShare) / float64(s.Parts))
}

// poolRuns returns the number of run slots that a lender with the given number
// of parts may lend.
func (s Settings) poolRuns(l Limit, parts int) int {
	pool := l.Runs - s.Nodes*s.staticRuns(l)
	return pool * min(parts, s.Parts) / s.Parts
}

// maxCharge returns the maximum that is charged to one request on admission; the
// rest of its cost becomes debt. It is the amount that a lender with half of the
// parts can hold, so that such a lender can still lend it.
func (s Settings) maxCharge(l Limit) Amount {
	return l.rate().scale((1 - s.StaticShare) * s.Burst.Seconds() / 2)
}

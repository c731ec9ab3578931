package peerload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// limitLifetime is how long a node reports a limit that it received from an endpoint. Nodes
	// that use the endpoint receive it again with each response.
	limitLifetime = 5 * time.Second
	// maxLimits is the maximum number of limits in one message, of about 90 bytes each. The newest
	// are kept.
	maxLimits = 64
	// maxPerSecond bounds a limit. A limit above it has no effect.
	maxPerSecond = 1e6
	// limitAgeMargin is added to the age of a limit that another node reports. A message takes
	// some ms, and must not override what the endpoint has reported to this node since.
	limitAgeMargin = 10 * time.Millisecond
)

// Limit is a rate limit that an endpoint reported to a node.
type Limit struct {
	Endpoint  string  `json:"endpoint"`
	StartedMs int64   `json:"born,omitempty"` // the endpoint's start in Unix milliseconds, 0 if unknown
	PerSecond float64 `json:"per_s"`          // requests per second that it accepts from all nodes together
	Ended     bool    `json:"ended,omitempty"`
	AgeMs     int64   `json:"age_ms"`
}

// LimitsOf returns the limits that endpoints recently reported to this node directly. Limits
// received from other nodes are left out, because two nodes could otherwise keep reporting a wrong
// limit to each other.
func LimitsOf(members []*fleet.Member, now time.Time) []Limit {
	var list []Limit
	for _, m := range members {
		limit, known := m.Signals.RateLimit()
		if !known || !limit.Direct || now.Sub(limit.At) > limitLifetime {
			continue
		}
		list = append(list, Limit{
			Endpoint: m.ID, StartedMs: m.StartedMs, PerSecond: min(limit.PerSecond, maxPerSecond), Ended: !limit.InForce,
			AgeMs: max(now.Sub(limit.At), 0).Milliseconds(),
		})
	}
	return newestLimits(list)
}

// newestLimits returns the latest limit of each start of an endpoint, at most maxLimits of them.
func newestLimits(list []Limit) []Limit {
	slices.SortStableFunc(list, func(a, b Limit) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	type start struct {
		endpoint  string
		startedMs int64
	}
	return firstOfEach(list, maxLimits, func(l *Limit) start { return start{l.Endpoint, l.StartedMs} })
}

// ageLimits returns the limits with their ages increased, without those that exceed limitLifetime.
func ageLimits(list []Limit, elapsed time.Duration) []Limit {
	return aged(list, elapsed, limitLifetime, func(l *Limit) *int64 { return &l.AgeMs })
}

// peerLimits returns the limits in the peers' own digests.
func (t *Table) peerLimits(now time.Time) []Limit {
	return peerReports(t, now, func(d *Digest) []Limit { return d.Limits }, ageLimits)
}

// collectLimits returns the limits that peers and other failure domains report.
func (t *Table) collectLimits(now time.Time) []Limit {
	domains := domainReports(t, now, func(d *DomainLoad) []Limit { return d.Limits }, ageLimits)
	return newestLimits(append(t.peerLimits(now), domains...))
}

// domainLimits returns the limits that the nodes of this failure domain report, including this
// node's own.
func (t *Table) domainLimits(own []Limit, now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return newestLimits(append(t.peerLimits(now), own...))
}

// applyLimits applies limits that endpoints reported to other nodes.
func (e *Exchange) applyLimits(limits []Limit, now time.Time) {
	if len(limits) == 0 {
		return
	}
	member := e.memberLookup()
	for i := range limits {
		l := &limits[i]
		m := member(l.Endpoint)
		if m == nil || l.StartedMs != 0 && m.StartedMs != 0 && l.StartedMs != m.StartedMs {
			continue
		}
		at := now.Add(-time.Duration(l.AgeMs)*time.Millisecond - limitAgeMargin)
		changed := m.Signals.RecordRelayedLimit(fleet.RateLimit{PerSecond: l.PerSecond, InForce: !l.Ended, At: at})
		if changed {
			e.log.Info().Str("event", "endpoint_limit_heard").Str("endpoint", m.ID).Float64("per_s", l.PerSecond).
				Bool("in_force", !l.Ended).Int64("age_ms", l.AgeMs).Send()
		}
	}
}

// checkLimits returns an error if there are too many limits or one of them is out of range.
func checkLimits(limits []Limit) error {
	if len(limits) > maxLimits {
		return eris.Errorf("check limits: %d limits in one message are too many", len(limits))
	}
	for i := range limits {
		l := &limits[i]
		if l.Endpoint == "" || l.PerSecond < 0 || l.PerSecond > maxPerSecond || l.AgeMs < 0 || l.AgeMs > maxAgeMs {
			return eris.Errorf("check limits: limit %+v is out of range", *l)
		}
	}
	return nil
}

package peerload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// limitsToldFor is how long a node tells of what an endpoint told it. Nodes that use the endpoint hear
	// it anew with each answer.
	limitsToldFor = 5 * time.Second
	// mostLimits bounds the limits in one message, of some 90 bytes each: the newest.
	mostLimits = 64
	// mostPerSecond bounds a limit; one above it bounds nothing.
	mostPerSecond = 1e6
	// heardMargin is added to the age of a limit that another node tells: a message takes some ms, and must not
	// outdate what the endpoint has told this node since.
	heardMargin = 10 * time.Millisecond
)

// Limit is what an endpoint told a node of a limit, so long ago.
type Limit struct {
	Endpoint  string  `json:"endpoint"`
	Born      int64   `json:"born,omitempty"` // its start in Unix milliseconds, 0 if not known
	PerSecond float64 `json:"per_s"`          // requests that it takes from all nodes together
	Ended     bool    `json:"ended,omitempty"`
	AgeMs     int64   `json:"age_ms"`
}

// LimitsOf returns what endpoints told this node lately of limits. What other nodes told is left out, or
// two nodes would keep an error alive.
func LimitsOf(members []*fleet.Member, now time.Time) []Limit {
	var list []Limit
	for _, m := range members {
		limit, known := m.Signals.RateLimit()
		if !known || !limit.Own || now.Sub(limit.At) > limitsToldFor {
			continue
		}
		list = append(list, Limit{
			Endpoint: m.ID, Born: m.Born, PerSecond: min(limit.PerSecond, mostPerSecond), Ended: !limit.InForce,
			AgeMs: max(now.Sub(limit.At), 0).Milliseconds(),
		})
	}
	return newestLimits(list)
}

// newestLimits returns what each start of an endpoint told last, and no more than a message holds.
func newestLimits(list []Limit) []Limit {
	slices.SortStableFunc(list, func(a, b Limit) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	type start struct {
		endpoint string
		born     int64
	}
	seen := make(map[start]bool, len(list))
	list = slices.DeleteFunc(list, func(l Limit) bool {
		of := start{l.Endpoint, l.Born}
		told := seen[of]
		seen[of] = true
		return told
	})
	return list[:min(len(list), mostLimits)]
}

// aged returns the limits as they are some time later, without those that are told no more.
func aged(list []Limit, by time.Duration) []Limit {
	var later []Limit
	for _, l := range list {
		l.AgeMs += by.Milliseconds()
		if l.AgeMs <= limitsToldFor.Milliseconds() {
			later = append(later, l)
		}
	}
	return later
}

// nearLimits returns what the peers tell themselves of limits.
func (t *Table) nearLimits(now time.Time) []Limit {
	var list []Limit
	for _, p := range t.peers {
		list = append(list, aged(p.digest.Limits, now.Sub(p.at))...)
	}
	return list
}

// collectLimits returns what the peers and other failure domains tell of limits.
func (t *Table) collectLimits(now time.Time) []Limit {
	list := t.nearLimits(now)
	for _, o := range t.outers {
		list = append(list, aged(o.load.Limits, now.Sub(o.at))...)
	}
	return newestLimits(list)
}

// domainLimits returns what the nodes of this failure domain tell of limits, with what this node itself does.
func (t *Table) domainLimits(own []Limit, now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return newestLimits(append(t.nearLimits(now), own...))
}

// learnLimits takes over what endpoints told other nodes.
func (e *Exchange) learnLimits(limits []Limit, now time.Time) {
	if len(limits) == 0 {
		return
	}
	member := e.lookUp()
	for i := range limits {
		l := &limits[i]
		m := member(l.Endpoint)
		if m == nil || l.Born != 0 && m.Born != 0 && l.Born != m.Born {
			continue
		}
		at := now.Add(-time.Duration(l.AgeMs)*time.Millisecond - heardMargin)
		changed := m.Signals.HearLimit(fleet.RateLimit{PerSecond: l.PerSecond, InForce: !l.Ended, At: at})
		if changed {
			e.log.Info().Str("event", "endpoint_limit_heard").Str("endpoint", m.ID).Float64("per_s", l.PerSecond).
				Bool("in_force", !l.Ended).Int64("age_ms", l.AgeMs).Send()
		}
	}
}

// checkLimits returns an error for limits that no node tells.
func checkLimits(limits []Limit) error {
	if len(limits) > mostLimits {
		return eris.Errorf("a message with %d limits", len(limits))
	}
	for i := range limits {
		l := &limits[i]
		if l.Endpoint == "" || l.PerSecond < 0 || l.PerSecond > mostPerSecond || l.AgeMs < 0 || l.AgeMs > mostSeenMS {
			return eris.Errorf("a message with the limit %+v", *l)
		}
	}
	return nil
}

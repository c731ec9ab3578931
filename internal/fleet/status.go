package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Status is what keeps requests from an endpoint, as this node knows it: for operators.
type Status struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Domain   string `json:"domain"`
	Born     int64  `json:"born,omitempty"` // its start in Unix milliseconds, 0 if not said
	// Limit is the number of requests in a second that it takes from all nodes together; nil for any number.
	Limit *LimitStatus `json:"limit,omitempty"`
	// Backoff is the time for which it wants no requests of this node; nil for none.
	Backoff *BackoffStatus `json:"backoff,omitempty"`
	// DrainingForMs is how long ago it first told this node that it drains; nil where it never did. Draining is
	// true for that, or where its entry says so.
	DrainingForMs *int64 `json:"draining_for_ms,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	Cold          bool   `json:"cold,omitempty"`
}

// LimitStatus is a limit with its age. Own is true where it came in an answer to this node, false where another node
// told of it.
type LimitStatus struct {
	PerSecond float64 `json:"per_s"`
	Own       bool    `json:"own"`
	AgeMs     int64   `json:"age_ms"`
}

// BackoffStatus is a backoff that an endpoint asked this node for, last so long ago.
type BackoffStatus struct {
	LeftMs int64 `json:"left_ms"`
	AgeMs  int64 `json:"age_ms"`
}

// Restricted returns the endpoints that don't take any number of requests, in the order of their ids.
func (f *Fleet) Restricted(now time.Time) []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Status{}
	for _, m := range f.members {
		if s := m.status(now); s.Limit != nil || s.Backoff != nil || s.Draining || s.Cold {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (m *Member) status(now time.Time) Status {
	e := m.Endpoint()
	s := Status{Endpoint: m.ID, Service: m.Service, Addr: e.Addr, Domain: e.Domain, Born: m.Born, Draining: e.Draining, Cold: m.Cold(now)}
	if l, known := m.Signals.RateLimit(); known && l.InForce {
		s.Limit = &LimitStatus{PerSecond: l.PerSecond, Own: l.Own, AgeMs: now.Sub(l.At).Milliseconds()}
	}
	if b, backsOff := m.Signals.Backoff(now); backsOff {
		s.Backoff = &BackoffStatus{LeftMs: b.Until.Sub(now).Milliseconds(), AgeMs: now.Sub(b.At).Milliseconds()}
	}
	if since, draining := m.Signals.Draining(); draining {
		ago := now.Sub(since).Milliseconds()
		s.DrainingForMs = &ago
	}
	return s
}

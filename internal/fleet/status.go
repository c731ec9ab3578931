package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Status describes, for operators, this node's restrictions on sending requests to an endpoint.
type Status struct {
	Endpoint  string `json:"endpoint"`
	Service   string `json:"service"`
	Addr      string `json:"addr"`
	Domain    string `json:"domain"`
	Release   string `json:"release,omitempty"` // of its software
	StartedMs int64  `json:"born,omitempty"`    // start time in Unix milliseconds, 0 if not reported
	// Limit is the number of requests per second that it accepts from all nodes together; nil if
	// unlimited.
	Limit *LimitStatus `json:"limit,omitempty"`
	// Backoff is the period in which it accepts no requests from this node; nil if none.
	Backoff *BackoffStatus `json:"backoff,omitempty"`
	// DrainingForMs is how long ago it first reported to this node that it drains; nil if never.
	// Draining is also true if its entry is marked as draining.
	DrainingForMs *int64 `json:"draining_for_ms,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	Cold          bool   `json:"cold,omitempty"`
	// SlowFactor is how many times slower than usual its streams are now; 0 if they aren't.
	SlowFactor float64 `json:"slow,omitempty"`
}

// LimitStatus is a rate limit with its age. Direct is true if the endpoint reported it to this
// node, and false if another node relayed it.
type LimitStatus struct {
	PerSecond float64 `json:"per_s"`
	Direct    bool    `json:"own"`
	AgeMs     int64   `json:"age_ms"`
}

// BackoffStatus is a backoff that an endpoint requested of this node: the time left, and the time since
// it last requested it.
type BackoffStatus struct {
	LeftMs int64 `json:"left_ms"`
	AgeMs  int64 `json:"age_ms"`
}

// Restricted returns the endpoints with a limit or backoff, those that drain, are cold or slow, and those of
// services with several releases, whose streams continue at their own release only. They are sorted by id.
// slowFactor returns how many times slower than usual an endpoint is, 0 if it isn't; it must not call the
// fleet.
func (f *Fleet) Restricted(now time.Time, slowFactor func(m *Member) float64) []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Status{}
	mixed := f.mixedServices()
	for _, m := range f.members {
		s := m.status(now)
		s.SlowFactor = slowFactor(m)
		if s.Limit != nil || s.Backoff != nil || s.Draining || s.Cold || s.SlowFactor > 0 || mixed[m.Service] {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// mixedServices returns the services whose endpoints have several releases. f.mu is held.
func (f *Fleet) mixedServices() map[string]bool {
	mixed, releases := make(map[string]bool), make(map[string]string)
	for _, m := range f.members {
		release := m.Endpoint().Release
		if seen, known := releases[m.Service]; known && seen != release {
			mixed[m.Service] = true
		}
		releases[m.Service] = release
	}
	return mixed
}

func (m *Member) status(now time.Time) Status {
	e := m.Endpoint()
	s := Status{Endpoint: m.ID, Service: m.Service, Addr: e.Addr, Domain: e.Domain, Release: e.Release, StartedMs: m.StartedMs, Draining: e.Draining, Cold: m.Cold(now)}
	if l, known := m.Signals.RateLimit(); known && l.InForce {
		s.Limit = &LimitStatus{PerSecond: l.PerSecond, Direct: l.Direct, AgeMs: now.Sub(l.At).Milliseconds()}
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

package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Said is what an endpoint has said of itself, as this node knows it: for operators.
type Said struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Domain   string `json:"domain"`
	Born     int64  `json:"born,omitempty"` // its start in Unix milliseconds, 0 if not said
	// Limit is the number of requests in a second that it takes from all nodes together; nil for any number.
	Limit *SaidLimit `json:"limit,omitempty"`
	// Rest is the time for which it wants no requests of this node; nil for none.
	Rest *SaidRest `json:"rest,omitempty"`
	// LeavingForMs is how long ago it said to this node that it leaves; nil where it never did. Draining is
	// true for that, or where its entry says so.
	LeavingForMs *int64 `json:"leaving_for_ms,omitempty"`
	Draining     bool   `json:"draining,omitempty"`
	Cold         bool   `json:"cold,omitempty"`
}

// SaidLimit is a limit with its age. Own is true where it came in an answer to this node, false where another node
// told of it.
type SaidLimit struct {
	PerSecond float64 `json:"per_s"`
	Own       bool    `json:"own"`
	AgeMs     int64   `json:"age_ms"`
}

// SaidRest is a rest that an endpoint asked this node for, last so long ago.
type SaidRest struct {
	LeftMs int64 `json:"left_ms"`
	AgeMs  int64 `json:"age_ms"`
}

// Said returns what all endpoints have said of themselves that keeps requests from them, in the order of their
// ids. Those that take any number are left out.
func (f *Fleet) Said(now time.Time) []Said {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Said{}
	for _, m := range f.members {
		if s := m.said(now); s.Limit != nil || s.Rest != nil || s.Draining || s.Cold {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Said) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (m *Member) said(now time.Time) Said {
	e := m.Endpoint()
	s := Said{Endpoint: m.ID, Service: m.Service, Addr: e.Addr, Domain: e.Domain, Born: m.Born, Draining: e.Draining, Cold: m.Cold(now)}
	if l, known := m.Word.RateLimit(); known && l.InForce {
		s.Limit = &SaidLimit{PerSecond: l.PerSecond, Own: l.Own, AgeMs: now.Sub(l.At).Milliseconds()}
	}
	if r, resting := m.Word.Resting(now); resting {
		s.Rest = &SaidRest{LeftMs: r.Until.Sub(now).Milliseconds(), AgeMs: now.Sub(r.At).Milliseconds()}
	}
	if since, leaving := m.Word.Leaving(); leaving {
		ago := now.Sub(since).Milliseconds()
		s.LeavingForMs = &ago
	}
	return s
}

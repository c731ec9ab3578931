package peerload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// brittleLifetime is how long a node relays a report that endpoints are brittle. Nodes that use the
	// service receive it again with each answer.
	brittleLifetime = 5 * time.Second
	// maxBrittle is the maximum number of services in one message, of about 60 bytes each. Those that
	// bear the fewest refusals are kept.
	maxBrittle = 32
	// maxRefusals bounds the refusals of a report. Endpoints that bear more are not brittle.
	maxRefusals = 1_000_000
)

// Brittle is a service whose endpoints report that they fail if they refuse too many requests.
type Brittle struct {
	Service  string `json:"service"`
	Refusals int    `json:"refusals"` // per second that each endpoint bears
	AgeMs    int64  `json:"age_ms"`   // since the report
}

// ageBrittle returns the services with the ages of their reports increased, without those that exceed
// brittleLifetime.
func ageBrittle(list []Brittle, elapsed time.Duration) []Brittle {
	return aged(list, elapsed, brittleLifetime, func(b *Brittle) *int64 { return &b.AgeMs })
}

// mostBrittle returns for each service the report with the fewest refusals, and of these the latest one;
// at most maxBrittle of them. The least brittle endpoints may report more often than the others.
func mostBrittle(list []Brittle) []Brittle {
	slices.SortStableFunc(list, func(a, b Brittle) int {
		return cmp.Or(cmp.Compare(a.Refusals, b.Refusals), cmp.Compare(a.AgeMs, b.AgeMs))
	})
	return firstOfEach(list, maxBrittle, func(b *Brittle) string { return b.Service })
}

// brittleToSend returns the services whose endpoints reported to this node.
func (e *Exchange) brittleToSend() []Brittle {
	if e.config.Brittle == nil {
		return nil
	}
	return mostBrittle(ageBrittle(e.config.Brittle(), 0))
}

// peerBrittle returns the services in the peers' own digests.
func (t *Table) peerBrittle(now time.Time) []Brittle {
	return peerReports(t, now, func(d *Digest) []Brittle { return d.Brittle }, ageBrittle)
}

// collectBrittle returns the services that peers and other failure domains report.
func (t *Table) collectBrittle(now time.Time) []Brittle {
	domains := domainReports(t, now, func(d *DomainLoad) []Brittle { return d.Brittle }, ageBrittle)
	return mostBrittle(append(t.peerBrittle(now), domains...))
}

// domainBrittle returns the services that the nodes of this failure domain report, this node included.
func (t *Table) domainBrittle(own []Brittle, now time.Time) []Brittle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return mostBrittle(append(t.peerBrittle(now), own...))
}

// applyBrittle passes on reports that other nodes received.
func (e *Exchange) applyBrittle(list []Brittle, now time.Time) {
	if e.config.ApplyBrittle == nil {
		return
	}
	for i := range list {
		b := &list[i]
		e.config.ApplyBrittle(b.Service, b.Refusals, now.Add(-time.Duration(b.AgeMs)*time.Millisecond))
	}
}

// checkBrittle returns an error if there are too many services or one of them is out of range.
func checkBrittle(list []Brittle) error {
	if len(list) > maxBrittle {
		return eris.Errorf("check brittle services: %d in one message are too many", len(list))
	}
	for i := range list {
		b := &list[i]
		if b.Service == "" || b.Refusals < 0 || b.Refusals > maxRefusals || b.AgeMs < 0 || b.AgeMs > maxAgeMs {
			return eris.Errorf("check brittle services: %+v is out of range", *b)
		}
	}
	return nil
}

package peerload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// startTags is the number of starts of an endpoint that messages tell apart: up to 3 digits for
// each load, where the time itself has 13.
const startTags = 997

// Start tells one start of an endpoint from the ones shortly before and after; 0 if not said.
type Start int

// startOf returns the tag of a start, in Unix milliseconds; 0 where that is not said.
func startOf(born int64) Start {
	if born <= 0 {
		return 0
	}
	return Start(1 + born%startTags)
}

// Sum is what all peers together tell of an endpoint.
type Sum struct {
	Running, Reading, Holding int

	failures  int // percent, added up
	witnesses int // peers that tell of failures
}

// FailureRate returns the share of failed attempts that several peers tell of, else 0.
func (s Sum) FailureRate() float64 {
	if s.witnesses < failureWitnesses {
		return 0
	}
	return float64(s.failures) / percent / float64(s.witnesses)
}

// sumOf returns what one peer tells.
func sumOf(l *Load) Sum {
	s := Sum{Running: l.Running, Reading: l.Reading, Holding: l.Holding}
	if l.Failures > 0 {
		s.failures, s.witnesses = l.Failures, 1
	}
	return s
}

// plus returns both together.
func (s Sum) plus(o Sum) Sum {
	return Sum{
		Running: s.Running + o.Running, Reading: s.Reading + o.Reading, Holding: s.Holding + o.Holding,
		failures: s.failures + o.failures, witnesses: s.witnesses + o.witnesses,
	}
}

// minus returns s without o, which is part of it but for lost messages.
func (s Sum) minus(o Sum) Sum {
	return Sum{
		Running: max(s.Running-o.Running, 0), Reading: max(s.Reading-o.Reading, 0), Holding: max(s.Holding-o.Holding, 0),
		failures: max(s.failures-o.failures, 0), witnesses: max(s.witnesses-o.witnesses, 0),
	}
}

// loadKey stands for one start of an endpoint. Two of the same key would be taken for one,
// which happens to one of 8,000 fleets of 1,000 endpoints.
type loadKey uint32

func keyOf(id string, start Start) loadKey {
	const spread = 0x9E3779B9 // of the starts' small numbers over all keys
	return loadKey(uint32(xxhash.Sum64String(id)) + uint32(start)*spread)
}

// Sums is what all peers together tell, by start of an endpoint.
type Sums map[loadKey]Sum

// Of returns what they tell of one start, in Unix milliseconds, of an endpoint. What doesn't say
// of which it is counts for each.
func (s Sums) Of(id string, born int64) Sum {
	sum := s[keyOf(id, 0)]
	if born == 0 {
		return sum
	}
	return sum.plus(s[keyOf(id, startOf(born))])
}

// Loads returns the sums of what the peers tell, which is not to be changed: what a collector
// tells where that covers more nodes than are heard directly, else what these tell themselves.
func (t *Table) Loads(now time.Time) Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.collected(now); c != nil {
		return c.load()
	}
	sums, _ := t.heardDirectly(now)
	outer, _ := t.outer(now)
	sums.merge(outer)
	return sums
}

// direct returns the sums of what the peers tell themselves, and how many do.
func (t *Table) direct(now time.Time) (sums Sums, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardDirectly(now)
}

func (t *Table) heardDirectly(now time.Time) (sums Sums, nodes int) {
	sums = make(Sums)
	for _, p := range t.peers {
		if now.Sub(p.at) <= Fresh {
			nodes++
			sums.take(p.digest.Loads, p.digest.Starts)
		}
	}
	return sums, nodes
}

// take adds a peer's loads.
func (s Sums) take(loads []Load, starts []Start) {
	for i := range loads {
		key := keyAt(loads, starts, i)
		s[key] = s[key].plus(sumOf(&loads[i]))
	}
}

// drop takes loads off that take has added.
func (s Sums) drop(loads []Load, starts []Start) {
	for i := range loads {
		key := keyAt(loads, starts, i)
		s[key] = s[key].minus(sumOf(&loads[i]))
	}
}

// keyAt returns the key of a digest's i-th load, which may not say of which start it is.
func keyAt(loads []Load, starts []Start, i int) loadKey {
	if i < len(starts) {
		return keyOf(loads[i].Endpoint, starts[i])
	}
	return keyOf(loads[i].Endpoint, 0)
}

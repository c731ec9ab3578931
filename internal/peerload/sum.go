package peerload

import "time"

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

// add takes what one peer tells.
func (s *Sum) add(l *Load) {
	s.Running += l.Running
	s.Reading += l.Reading
	s.Holding += l.Holding
	if l.Failures > 0 {
		s.failures += l.Failures
		s.witnesses++
	}
}

// endpointStart is one start of an endpoint.
type endpointStart struct {
	id    string
	start Start
}

// Sums is what all peers together tell, by start of an endpoint.
type Sums map[endpointStart]Sum

// Of returns what they tell of one start, in Unix milliseconds, of an endpoint. What doesn't say
// of which it is counts for each.
func (s Sums) Of(id string, born int64) Sum {
	sum := s[endpointStart{id: id}]
	if born == 0 {
		return sum
	}
	of := s[endpointStart{id, startOf(born)}]
	return Sum{
		Running: sum.Running + of.Running, Reading: sum.Reading + of.Reading, Holding: sum.Holding + of.Holding,
		failures: sum.failures + of.failures, witnesses: sum.witnesses + of.witnesses,
	}
}

// Loads returns the sums of what the peers tell.
func (t *Table) Loads(now time.Time) Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(Sums)
	for _, p := range t.peers {
		if now.Sub(p.at) <= Fresh {
			sums.take(&p.digest)
		}
	}
	return sums
}

func (s Sums) take(d *Digest) {
	for i := range d.Loads {
		l := &d.Loads[i]
		at := endpointStart{id: l.Endpoint}
		if i < len(d.Starts) {
			at.start = d.Starts[i]
		}
		sum := s[at]
		sum.add(l)
		s[at] = sum
	}
}

package peerload

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/enginepace"
)

const (
	// slowLifetime is how long after the last sign of it an engine counts as slow. Slow spells last
	// about as long.
	slowLifetime = enginepace.VerdictLifetime
	// maxSlow is the maximum number of slow engines in one message, of about 32 bytes each. The
	// slowest are kept.
	maxSlow = 32
	// tenths converts a factor to tenths.
	tenths = 10
	// maxSlowTenths is the largest factor of a slow engine, in tenths.
	maxSlowTenths = enginepace.MaxFactor * tenths
)

// Slow is an engine whose streams are slower than usual.
type Slow struct {
	Endpoint string
	Start    StartTag
	Tenths   int   // how many times slower than usual, in tenths; more than 10
	AgeMs    int64 // since the last sign
}

var (
	_ json.Marshaler   = Slow{}
	_ json.Unmarshaler = (*Slow)(nil)
)

// NewSlow returns the report of a verdict.
func NewSlow(v *enginepace.Verdict) Slow {
	return Slow{
		Endpoint: v.Engine.ID, Start: startTagOf(v.Engine.StartedMs),
		Tenths: min(max(int(v.Factor*tenths+0.5), tenths+1), maxSlowTenths), AgeMs: max(v.Age, 0).Milliseconds(),
	}
}

// MarshalJSON implements json.Marshaler. It is encoded as the array [endpoint, start tag, factor in
// tenths, age in ms].
func (s Slow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{s.Endpoint, s.Start, s.Tenths, s.AgeMs})
}

// UnmarshalJSON implements json.Unmarshaler. Further elements, of later builds, are ignored.
func (s *Slow) UnmarshalJSON(data []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	fields := []any{&s.Endpoint, &s.Start, &s.Tenths, &s.AgeMs}
	if len(elements) < len(fields) {
		return eris.Errorf("decode slow engine: array has %d elements", len(elements))
	}
	for i, field := range fields {
		if err := json.Unmarshal(elements[i], field); err != nil {
			return err
		}
	}
	return nil
}

// checkSlow returns an error if there are too many slow engines or one of them is out of range.
func checkSlow(list []Slow) error {
	if len(list) > maxSlow {
		return eris.Errorf("check slow engines: %d in one message are too many", len(list))
	}
	for i := range list {
		s := &list[i]
		if s.Endpoint == "" || s.Start < 0 || s.Start > startTagCount || s.Tenths <= tenths || s.Tenths > maxSlowTenths || s.AgeMs < 0 || s.AgeMs > maxAgeMs {
			return eris.Errorf("check slow engines: %+v is out of range", *s)
		}
	}
	return nil
}

// ageSlow returns the slow engines with their ages increased, without those that exceed
// slowLifetime.
func ageSlow(list []Slow, elapsed time.Duration) []Slow {
	return aged(list, elapsed, slowLifetime, func(s *Slow) *int64 { return &s.AgeMs })
}

// slowest returns the largest factor of each start of an engine, at most maxSlow of them.
func slowest(list []Slow) []Slow {
	slices.SortStableFunc(list, func(a, b Slow) int {
		return cmp.Or(cmp.Compare(b.Tenths, a.Tenths), cmp.Compare(a.AgeMs, b.AgeMs))
	})
	return firstOfEach(list, maxSlow, func(s *Slow) loadKey { return keyOf(s.Endpoint, s.Start) })
}

// slowToSend returns the engines that are slow by this node's own observation. Those reported by
// other nodes are left out: two nodes could otherwise keep reporting an engine to each other.
func (e *Exchange) slowToSend() []Slow {
	if e.config.Slow == nil {
		return nil
	}
	if list := ageSlow(e.config.Slow(), 0); len(list) > 0 {
		return slowest(list)
	}
	return nil
}

// peerSlow returns the slow engines in the peers' own digests.
func (t *Table) peerSlow(now time.Time) []Slow {
	return peerReports(t, now, func(d *Digest) []Slow { return d.Slow }, ageSlow)
}

// SlowEngines holds the engines that other nodes report as slow.
type SlowEngines map[loadKey]float64

// Slow returns the engines that other nodes report as slow now: the largest factor in their own
// digests and in the aggregates of collectors. The result is nil if there are none.
func (t *Table) Slow(now time.Time) SlowEngines {
	t.mu.Lock()
	defer t.mu.Unlock()
	var factors SlowEngines
	for _, p := range t.peers {
		factors = factors.add(p.digest.Slow, now.Sub(p.at))
		if p.aggregate != nil {
			factors = factors.add(p.aggregate.slow, now.Sub(p.at))
		}
	}
	return factors
}

// add adds the engines of a message of the given age.
func (s SlowEngines) add(list []Slow, age time.Duration) SlowEngines {
	for i := range list {
		l := &list[i]
		if age+time.Duration(l.AgeMs)*time.Millisecond > slowLifetime {
			continue
		}
		if s == nil {
			s = make(SlowEngines)
		}
		key := keyOf(l.Endpoint, l.Start)
		s[key] = max(s[key], float64(l.Tenths)/tenths)
	}
	return s
}

// Factor returns how many times slower than usual a start of an engine is, given in Unix
// milliseconds; 1 if no node reports it. Reports without a start count for each start.
func (s SlowEngines) Factor(id string, startedMs int64) float64 {
	if len(s) == 0 {
		return 1
	}
	return max(s[keyOf(id, 0)], s[keyOf(id, startTagOf(startedMs))], 1)
}

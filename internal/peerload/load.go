package peerload

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// toldFailures is the failure rate from which peers are told of it.
	toldFailures = 0.2
	percent      = 100
)

// Load is what the node has under way at an endpoint.
type Load struct {
	Endpoint string
	Running  int
	Reading  int // prompt tokens that wait to be read
	Holding  int // tokens in the endpoint's memory
	// Failures is the share of attempts that failed lately, in percent, if it is high.
	Failures int
}

var (
	_ json.Marshaler   = Load{}
	_ json.Unmarshaler = (*Load)(nil)
)

// MarshalJSON implements json.Marshaler. A load is [endpoint, running, reading, holding,
// failures], as messages mostly consist of loads: with names they are twice as long.
func (l Load) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Endpoint, l.Running, l.Reading, l.Holding, l.Failures})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Load) UnmarshalJSON(data []byte) error {
	fields := []any{&l.Endpoint, &l.Running, &l.Reading, &l.Holding, &l.Failures}
	want := len(fields)
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) != want {
		return eris.Errorf("a load has %d fields", len(fields))
	}
	return nil
}

// setLoads has the digest tell what this node has under way and what it saw.
func (d *Digest) setLoads(members []*fleet.Member, now time.Time) {
	d.Loads, d.Starts = LoadsOf(members, now)
}

// LoadsOf returns what this node has under way and what it saw, without endpoints that it has
// nothing to say of, and which start of its endpoint each is of.
func LoadsOf(members []*fleet.Member, now time.Time) (loads []Load, starts []Start) {
	for _, m := range members {
		l := Load{Endpoint: m.ID, Running: counted(m.Load.Running()), Reading: counted(m.Load.Reading()), Holding: counted(m.Load.Holding())}
		if rate := m.Health.FailureRate(now); rate >= toldFailures {
			l.Failures = int(rate * percent)
		}
		if l.Running > 0 || l.Reading > 0 || l.Failures > 0 {
			loads = append(loads, l)
			starts = append(starts, startOf(m.Born))
		}
	}
	return loads, starts
}

// counted returns a number as digests carry it: peers refuse what is out of range.
func counted(n int) int { return max(min(n, mostCounted), 0) }

package peerload

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// toldFailures is the failure rate from which peers are told of it.
	toldFailures = 0.2
	percent      = 100
	// loadBytes is the length of an encoded load at most, with an id of 20 bytes, seven digits
	// of tokens and the tag of its endpoint's start.
	loadBytes = 52
	// toldWithin is the time in which all peers are told once: a message may be lost before
	// the one before is no more used.
	toldWithin = Fresh / 2
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

// setLoads has the digest, of so many bytes at most, tell what this node has under way and what
// it saw.
func (d *Digest) setLoads(members []*fleet.Member, bytes int, now time.Time) {
	d.Loads, d.Starts = fit(loadsOf(members, now), bytes)
}

// fit returns the loads that so many bytes hold, and which start of its endpoint each is of:
// those of the endpoints with the most requests, which matter most to where others send theirs.
func fit(all []datedLoad, bytes int) (loads []Load, starts []Start) {
	most := max(bytes/loadBytes, 1)
	if len(all) > most {
		slices.SortStableFunc(all, func(a, b datedLoad) int { return cmp.Compare(b.Running, a.Running) })
		all = all[:most]
	}
	for _, l := range all {
		loads = append(loads, l.Load)
		starts = append(starts, l.start)
	}
	return loads, starts
}

// datedLoad is a load with the start of its endpoint.
type datedLoad struct {
	Load
	start Start
}

// loadsOf returns what this node has under way and what it saw, without endpoints that it has
// nothing to say of.
func loadsOf(members []*fleet.Member, now time.Time) []datedLoad {
	var loads []datedLoad
	for _, m := range members {
		l := Load{Endpoint: m.ID, Running: counted(m.Load.Running()), Reading: counted(m.Load.Reading()), Holding: counted(m.Load.Holding())}
		if rate := m.Health.FailureRate(now); rate >= toldFailures {
			l.Failures = int(rate * percent)
		}
		if l.Running > 0 || l.Reading > 0 || l.Failures > 0 {
			loads = append(loads, datedLoad{l, startOf(m.Born)})
		}
	}
	return loads
}

// counted returns a number as digests carry it: peers refuse what is out of range.
func counted(n int) int { return max(min(n, mostCounted), 0) }

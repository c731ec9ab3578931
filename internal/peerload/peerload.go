// Package peerload tells the other gateway nodes, several times a second, what this
// node has under way at each endpoint, and hears the same from them.
//
// Messages are JSON-RPC notifications, one a datagram, so a peer that is frozen, cut
// off or gone holds nobody up. Nothing but the quality of placement rests on them:
// what is lost is made up by the next one, and what is older than Fresh is not used.
package peerload

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/pace"
)

const (
	// toldFailures is the failure rate from which peers are told of it.
	toldFailures = 0.2
	percent      = 100
	// loadBytes is the length of an encoded load at most, with an id of 20 bytes and seven
	// digits of tokens.
	loadBytes = 48
	// toldWithin is the time in which all peers are told once: a message may be lost before
	// the one before is no more used.
	toldWithin = Fresh / 2
)

// Digest is what a node says of itself.
type Digest struct {
	Node string `json:"node"`
	// Incarnation tells starts of the node apart; later ones are greater.
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Loads       []Load `json:"loads,omitempty"`
	// Late are the holders from which fetches come late.
	Late []Late `json:"late,omitempty"`
	// Seen are weights that the node saw in answers or reports before the registry told
	// of them.
	Seen []Seen `json:"seen,omitempty"`
	// Emptied and Loading are the engines that this node has loaded now: the former take
	// short requests yet. Both count for ForMs.
	Emptied []string `json:"emptied,omitempty"`
	Loading []string `json:"loading,omitempty"`
	ForMs   int64    `json:"for_ms,omitempty"`
	// Leads is true where this node holds the claim on orders.
	Leads bool `json:"leads,omitempty"`
	// Names are the oldest weights whose parts this node names at stores. They only rise,
	// also over a restart of the node.
	Names []Named `json:"names,omitempty"`
}

// Named is the oldest version of a model whose parts a node names at stores.
type Named struct {
	Model  string `json:"model"`
	Oldest int64  `json:"oldest"`
}

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

// Late is how much later than expected fetches from a holder came lately.
type Late struct {
	Addr string `json:"addr"`
	MS   int    `json:"ms"`
}

// Seen are the engines that have a version of a model.
type Seen struct {
	Model     string   `json:"model"`
	Version   int64    `json:"version"`
	Endpoints []string `json:"endpoints"`
}

// LoadsOf returns what this node has under way and what it saw, without endpoints
// that it has nothing to say of.
func LoadsOf(members []*fleet.Member, now time.Time) []Load {
	var loads []Load
	for _, m := range members {
		l := Load{Endpoint: m.ID, Running: m.Load.Running(), Reading: m.Load.Reading(), Holding: m.Load.Holding()}
		if rate := m.Health.FailureRate(now); rate >= toldFailures {
			l.Failures = int(rate * percent)
		}
		if l.Running > 0 || l.Reading > 0 || l.Failures > 0 {
			loads = append(loads, l)
		}
	}
	return loads
}

// fit returns the loads of which so many peers can be told in time: those of the endpoints
// with the most requests, which matter most to where others send theirs.
func fit(loads []Load, peers int) []Load {
	most := max(pace.LongestMessage(peers, toldWithin)/loadBytes, 1)
	if len(loads) <= most {
		return loads
	}
	slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(b.Running, a.Running) })
	return loads[:most]
}

// SeenOf returns what this node saw of engines' weights and the registry doesn't tell
// yet.
func SeenOf(members []*fleet.Member) []Seen {
	var list []Seen
	for _, m := range members {
		seen := m.Seen()
		if seen == nil {
			continue
		}
		i := slices.IndexFunc(list, func(s Seen) bool { return s.Model == seen.Model && s.Version == seen.Version })
		if i < 0 {
			i = len(list)
			list = append(list, Seen{Model: seen.Model, Version: seen.Version})
		}
		list[i].Endpoints = append(list[i].Endpoints, m.ID)
	}
	return list
}

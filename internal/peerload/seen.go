package peerload

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
)

// Seen is a version of a model's weights with the engines that reported it to a node.
type Seen struct {
	Model     string   `json:"model"`
	Version   int64    `json:"version"`
	Endpoints []string `json:"endpoints"`
	// Born are the engines' starts in Unix milliseconds, 0 if unknown, and AgesMs the times since
	// their reports. Nodes of other builds may leave out both.
	Born   []int64 `json:"born,omitempty"`
	AgesMs []int64 `json:"ages_ms,omitempty"`
}

// SeenOf returns the versions that engines reported to this node directly and that the registry
// doesn't list yet. Versions received from other nodes are left out, because two nodes could
// otherwise keep a wrong version alive.
func SeenOf(members []*fleet.Member, now time.Time) []Seen {
	var list []Seen
	for _, m := range members {
		seen, ok := m.Seen()
		if !ok {
			continue
		}
		i := slices.IndexFunc(list, func(s Seen) bool { return s.Model == seen.Model && s.Version == seen.Version })
		if i < 0 {
			i = len(list)
			list = append(list, Seen{Model: seen.Model, Version: seen.Version})
		}
		list[i].Endpoints = append(list[i].Endpoints, m.ID)
		list[i].Born = append(list[i].Born, seen.Born)
		list[i].AgesMs = append(list[i].AgesMs, now.Sub(seen.At).Milliseconds())
	}
	return list
}

// statement returns the report of the i-th engine. Without an age it counts as made now.
func (s *Seen) statement(i int, now time.Time) fleet.Statement {
	said := fleet.Statement{Weights: fleet.Weights{Model: s.Model, Version: s.Version}, At: now}
	if i < len(s.Born) {
		said.Born = s.Born[i]
	}
	if i < len(s.AgesMs) {
		said.At = now.Add(-time.Duration(s.AgesMs[i]) * time.Millisecond)
	}
	return said
}

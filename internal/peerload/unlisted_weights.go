package peerload

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
)

// UnlistedWeights is a version of a model's weights with the engines that reported it to a node.
type UnlistedWeights struct {
	Model     string   `json:"model"`
	Version   int64    `json:"version"`
	Endpoints []string `json:"endpoints"`
	// StartedMs are the engines' starts in Unix milliseconds, 0 if unknown, and AgesMs the times
	// since their reports. Nodes of other builds may leave out both.
	StartedMs []int64 `json:"born,omitempty"`
	AgesMs    []int64 `json:"ages_ms,omitempty"`
}

// UnlistedWeightsOf returns the versions that engines reported to this node directly and that the
// registry doesn't list yet. Versions received from other nodes are left out, because two nodes
// could otherwise keep reporting a wrong version to each other.
func UnlistedWeightsOf(members []*fleet.Member, now time.Time) []UnlistedWeights {
	var list []UnlistedWeights
	for _, m := range members {
		reported, ok := m.UnlistedWeights()
		if !ok {
			continue
		}
		i := slices.IndexFunc(list, func(s UnlistedWeights) bool { return s.Model == reported.Model && s.Version == reported.Version })
		if i < 0 {
			i = len(list)
			list = append(list, UnlistedWeights{Model: reported.Model, Version: reported.Version})
		}
		list[i].Endpoints = append(list[i].Endpoints, m.ID)
		list[i].StartedMs = append(list[i].StartedMs, reported.StartedMs)
		list[i].AgesMs = append(list[i].AgesMs, ageAt(now, reported.At).Milliseconds())
	}
	return list
}

// report returns the report of the i-th engine. Without an age it counts as made now.
func (s *UnlistedWeights) report(i int, now time.Time) fleet.WeightsReport {
	report := fleet.WeightsReport{Weights: fleet.Weights{Model: s.Model, Version: s.Version}, At: now}
	if i < len(s.StartedMs) {
		report.StartedMs = s.StartedMs[i]
	}
	if i < len(s.AgesMs) {
		report.At = now.Add(-time.Duration(s.AgesMs[i]) * time.Millisecond)
	}
	return report
}

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
	// minReportedFailureRate is the failure rate from which an endpoint's failures are reported to
	// peers.
	minReportedFailureRate = 0.2
	// percent converts a share to percent.
	percent = 100
	// loadBytes is the maximum length of an encoded load with an id of 20 bytes, token counts of
	// seven digits and the tag of the endpoint's start.
	loadBytes = 52
	// sendTime is the time in which one message to each peer must be sent. It is half of
	// DigestLifetime, so that one lost message doesn't let the previous digest expire.
	sendTime = DigestLifetime / 2
)

// Load is the work that this node has in progress at an endpoint.
type Load struct {
	Endpoint            string
	Running             int
	PendingPromptTokens int // prompt tokens waiting to be processed
	HeldTokens          int // tokens in the endpoint's memory
	// Failures is the share of recent attempts that failed, in percent, or 0 if it is low.
	Failures int
}

var (
	_ json.Marshaler   = Load{}
	_ json.Unmarshaler = (*Load)(nil)
)

// MarshalJSON implements json.Marshaler. A load is encoded as the array [endpoint, running, pending
// prompt tokens, held tokens, failures]: messages consist mostly of loads, and an object with field
// names is twice as long.
func (l Load) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Endpoint, l.Running, l.PendingPromptTokens, l.HeldTokens, l.Failures})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Load) UnmarshalJSON(data []byte) error {
	fields := []any{&l.Endpoint, &l.Running, &l.PendingPromptTokens, &l.HeldTokens, &l.Failures}
	fieldCount := len(fields)
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) != fieldCount {
		return eris.Errorf("decode load: array has %d fields", len(fields))
	}
	return nil
}

// setLoads sets the digest's loads to those of this node that fit the given number of bytes.
func (d *Digest) setLoads(members []*fleet.Member, bytes int, now time.Time) {
	d.Loads, d.Starts = fitLoads(loadsOf(members, now), bytes)
}

// fitLoads returns the loads that fit the given number of bytes, with the start tag of each
// endpoint. The endpoints with the most requests take precedence, because they matter most to the
// peers' placement decisions.
func fitLoads(all []taggedLoad, bytes int) (loads []Load, starts []StartTag) {
	limit := max(bytes/loadBytes, 1)
	if len(all) > limit {
		slices.SortStableFunc(all, func(a, b taggedLoad) int { return cmp.Compare(b.Running, a.Running) })
		all = all[:limit]
	}
	for _, l := range all {
		loads = append(loads, l.Load)
		starts = append(starts, l.start)
	}
	return loads, starts
}

// taggedLoad is a load with the start tag of its endpoint.
type taggedLoad struct {
	Load
	start StartTag
}

// loadsOf returns this node's loads and observed failures, without endpoints that have neither
// requests, nor pending prompt tokens, nor failures to report.
func loadsOf(members []*fleet.Member, now time.Time) []taggedLoad {
	var loads []taggedLoad
	for _, m := range members {
		l := Load{Endpoint: m.ID, Running: clampCount(m.Load.Running()), PendingPromptTokens: clampCount(m.Load.PendingPromptTokens()), HeldTokens: clampCount(m.Load.HeldTokens())}
		if rate := m.Health.FailureRate(now); rate >= minReportedFailureRate {
			l.Failures = int(rate * percent)
		}
		if l.Running > 0 || l.PendingPromptTokens > 0 || l.Failures > 0 {
			loads = append(loads, taggedLoad{l, startTagOf(m.StartedMs)})
		}
	}
	return loads
}

// clampCount limits a number to the range that peers accept in digests.
func clampCount(n int) int { return max(min(n, maxCount), 0) }

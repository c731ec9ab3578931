package canary

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// reportMethod and noticeMethod are the names of the notifications. They may be repeated.
	reportMethod = "node.canary"
	noticeMethod = "node.canary_phase"
	// maxRows is the maximum number of routes whose answers a node counts for one order.
	maxRows = 64
	// maxNameBytes bounds the names in messages.
	maxNameBytes = 256
	// maxAge bounds the age of an order in a report.
	maxAge = 24 * time.Hour
)

// report holds what a node counted for one order. Counts are cumulative, so that a later report
// replaces the earlier ones, and a lost one does no harm.
type report struct {
	Service     string `json:"service"`
	Order       int64  `json:"order"`
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"` // of the node's process
	Seq         int64  `json:"seq"`
	AgeMS       int64  `json:"age_ms"` // since the node read the order
	// Phase is the newest phase that the node knows; empty in reports of nodes that don't tell it.
	Phase       string `json:"phase,omitempty"`
	OldInFlight int    `json:"old_in_flight"`
	Rows        []Row  `json:"rows"`
}

// knows reports whether the node knew a phase when it counted.
func (r *report) knows(phase Phase) bool { return r.Phase == phase.String() }

// notice tells nodes that a phase was recorded or, with Held, that the release was found to be worse.
type notice struct {
	Service string `json:"service"`
	Order   int64  `json:"order"`
	Phase   string `json:"phase,omitempty"`
	Held    bool   `json:"held,omitempty"`
}

// decodeReport decodes a report. It fails if a count or name is out of range.
func decodeReport(params json.RawMessage) (*report, error) {
	var r report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode counts of a release order")
	}
	if r.Node == "" || len(r.Node) > maxNameBytes || r.Service == "" || len(r.Service) > maxNameBytes || len(r.Phase) > maxNameBytes {
		return nil, eris.New("decode counts of a release order: a name is missing or too long")
	}
	if len(r.Rows) > maxRows || r.OldInFlight < 0 || r.OldInFlight > maxAnswers || r.AgeMS < 0 || r.AgeMS > maxAge.Milliseconds() {
		return nil, eris.New("decode counts of a release order: out of range")
	}
	for i := range r.Rows {
		if row := &r.Rows[i]; len(row.Route) > maxNameBytes || !row.Old.valid() || !row.New.valid() {
			return nil, eris.Errorf("decode counts of a release order: route %d is invalid", i)
		}
	}
	return &r, nil
}

// decodeNotice decodes a notice. phase is Trial if it tells none.
func decodeNotice(params json.RawMessage) (n notice, phase Phase, err error) {
	if err := json.Unmarshal(params, &n); err != nil {
		return n, 0, eris.Wrap(err, "decode the phase of a release order")
	}
	if n.Phase == "" {
		return n, Trial, nil
	}
	phase, err = parsePhase(n.Phase)
	return n, phase, err
}

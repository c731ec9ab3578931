package quarantine

import (
	"encoding/json"
	"iter"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// endingsMethod is the method name of the notification. The notification is idempotent.
	endingsMethod = "node.endings"
	// maxReportEntries limits the entries of one message, so that it fits into a datagram.
	maxReportEntries = 64
	// maxEndpointBytes is the maximum length of the identifier of an endpoint's start.
	maxEndpointBytes = 128
)

// errNoFingerprint is returned for a message in which a fingerprint is missing.
var errNoFingerprint = eris.New("decode endings: request fingerprint is missing")

// report is the content of a notification: the endings that a node saw, and the requests that
// completed.
type report struct {
	Endings []Ending `json:"endings,omitempty"`
	// Served are requests that an endpoint has completed successfully.
	Served []Fingerprint `json:"served,omitempty"`
	// Recorded is true if the endings caused a hold whose record has been written.
	Recorded bool `json:"recorded,omitempty"`
}

// messages splits the report into messages that fit into datagrams.
func (n *report) messages() iter.Seq[report] {
	return func(yield func(report) bool) {
		for endings := range slices.Chunk(n.Endings, maxReportEntries) {
			if !yield(report{Endings: endings, Recorded: n.Recorded}) {
				return
			}
		}
		for served := range slices.Chunk(n.Served, maxReportEntries) {
			if !yield(report{Served: served}) {
				return
			}
		}
	}
}

// decodeReport decodes a message. It fails if any part of the message is invalid.
func decodeReport(params json.RawMessage) (report, error) {
	var n report
	if err := json.Unmarshal(params, &n); err != nil {
		return report{}, eris.Wrap(err, "decode endings")
	}
	if len(n.Endings)+len(n.Served) > maxReportEntries {
		return report{}, eris.Errorf("decode endings: %d entries exceed the maximum", len(n.Endings)+len(n.Served))
	}
	for _, e := range n.Endings {
		if e.Endpoint == "" || len(e.Endpoint) > maxEndpointBytes {
			return report{}, eris.Errorf("decode endings: endpoint identifier is empty or too long: %d bytes", len(e.Endpoint))
		}
		if e.Fingerprint == (Fingerprint{}) {
			return report{}, errNoFingerprint
		}
	}
	if slices.Contains(n.Served, Fingerprint{}) {
		return report{}, errNoFingerprint
	}
	return n, nil
}

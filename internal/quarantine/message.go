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
	// maxEndings limits the endings of one message. Those of parts are longer than others.
	maxEndings = 40
	// maxDepth is the greatest valid position of a part in a prompt.
	maxDepth = 1 << 16
	// maxEndpointBytes is the maximum length of the identifier of an endpoint's start.
	maxEndpointBytes = 128
)

// errNoFingerprint is returned for a message in which a fingerprint is missing.
var errNoFingerprint = eris.New("decode endings: request fingerprint is missing")

// report is the content of a notification: the endings that a node saw, and the requests that
// completed.
type report struct {
	Endings []Ending `json:"endings,omitempty"`
	// Completed are requests that an endpoint completed successfully.
	Completed []Fingerprint `json:"served,omitempty"`
	// Recorded is true if the endings caused a hold whose record has been written.
	Recorded bool `json:"recorded,omitempty"`
	// HeldPart is true if the endings are those of one part that its coordinators hold.
	HeldPart bool `json:"held_part,omitempty"`
}

// messages splits the report into messages that fit into datagrams.
func (r *report) messages() iter.Seq[report] {
	return func(yield func(report) bool) {
		for endings := range slices.Chunk(r.Endings, maxEndings) {
			if !yield(report{Endings: endings, Recorded: r.Recorded, HeldPart: r.HeldPart}) {
				return
			}
		}
		for completed := range slices.Chunk(r.Completed, maxReportEntries) {
			if !yield(report{Completed: completed}) {
				return
			}
		}
	}
}

// decodeReport decodes a message. It fails if any part of the message is invalid.
func decodeReport(params json.RawMessage) (report, error) {
	var r report
	if err := json.Unmarshal(params, &r); err != nil {
		return report{}, eris.Wrap(err, "decode endings")
	}
	if err := r.check(); err != nil {
		return report{}, err
	}
	return r, nil
}

// check returns an error if a part of the message is not valid.
func (r *report) check() error {
	if len(r.Endings)+len(r.Completed) > maxReportEntries {
		return eris.Errorf("decode endings: %d entries exceed the maximum", len(r.Endings)+len(r.Completed))
	}
	for _, e := range r.Endings {
		if e.Endpoint == "" || len(e.Endpoint) > maxEndpointBytes {
			return eris.Errorf("decode endings: endpoint identifier is empty or too long: %d bytes", len(e.Endpoint))
		}
		if e.Fingerprint == (Fingerprint{}) {
			return errNoFingerprint
		}
		if e.Depth < 0 || e.Depth > maxDepth {
			return eris.Errorf("decode endings: position %d of a part is out of range", e.Depth)
		}
	}
	if slices.Contains(r.Completed, Fingerprint{}) {
		return errNoFingerprint
	}
	return nil
}

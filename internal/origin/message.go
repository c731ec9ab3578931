package origin

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

const (
	// recordsMethod is the notification that sends records to homes. It is idempotent.
	recordsMethod = "node.stream_origins"
	// findMethod is the call that asks for a record. It may be repeated.
	findMethod = "node.find_stream"

	// maxMessageRecords bounds the records of one message, so that it fits into a datagram.
	maxMessageRecords = 32
	// maxNameBytes bounds the names of services and releases.
	maxNameBytes = 128
)

// record is the origin of one stream.
type record struct {
	Key Key `json:"key"`
	Origin
}

// recordsMessage is the parameter of recordsMethod.
type recordsMessage struct {
	Records []record `json:"records"`
}

// findRequest is the parameter of findMethod.
type findRequest struct {
	Key Key `json:"key"`
}

// findResponse is the result of findMethod.
type findResponse struct {
	// Origin is nil if the node has no record.
	Origin *Origin `json:"origin,omitempty"`
}

// decodeRecords decodes a recordsMessage. It fails if any part of it is invalid.
func decodeRecords(params json.RawMessage) ([]record, error) {
	var m recordsMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, eris.Wrap(err, "decode origins of streams")
	}
	return m.Records, validate(m.Records)
}

// validate returns an error if records of another node are invalid.
func validate(records []record) error {
	if len(records) > maxMessageRecords {
		return eris.Errorf("decode origins of streams: %d records exceed the maximum", len(records))
	}
	for i := range records {
		if r := &records[i]; r.Key == (Key{}) || !r.valid() {
			return eris.Errorf("decode origins of streams: record %d lacks a field, or a name is too long", i)
		}
	}
	return nil
}

func (o *Origin) valid() bool {
	return o.Service != "" && o.Release != "" && len(o.Service) <= maxNameBytes && len(o.Release) <= maxNameBytes
}

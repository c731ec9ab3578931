package config

import (
	"bytes"
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cherryward/cherryward/internal/result"
)

// maxValueBytes bounds one encoded object, so that a change fits in a log record.
const maxValueBytes = 64 << 10

// Encode returns an object as compact JSON, the format of Change.Value. It fails if the
// result exceeds maxValueBytes.
func Encode(v Value) (json.RawMessage, error) {
	spaced, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(v)
	if err != nil {
		return nil, result.Wrap(err, result.InvalidObject)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, spaced); err != nil {
		return nil, result.Wrap(err, result.Internal)
	}
	if compact.Len() > maxValueBytes {
		return nil, invalid(string(KindOf(v)), "object has %d bytes: at most %d", compact.Len(), maxValueBytes)
	}
	return compact.Bytes(), nil
}

// Decode decodes the object of a change. Unknown fields are ignored, so that nodes of
// two builds have equal state during an upgrade. Errors have a fixed text, since the
// replicated state stores it and the JSON library's text differs between builds.
func Decode(kind Kind, raw json.RawMessage) (Value, error) {
	v, err := newValue(kind)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxValueBytes {
		return nil, invalid(string(kind), "object has %d bytes: at most %d", len(raw), maxValueBytes)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, v); err != nil {
		return nil, invalid(string(kind), "not valid JSON of this kind")
	}
	return v, nil
}

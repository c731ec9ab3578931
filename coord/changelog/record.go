package changelog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Op is the operation of a change.
type Op string

// Operations of a change: replace or create an object, and delete it.
const (
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Change is a request to create, replace or delete one object. Make it with
// Snapshot.Put or Snapshot.Delete, and do not modify it between retries.
type Change struct {
	// ID identifies the change. All records of one change have the same ID.
	ID string `json:"id"`
	// Kind and Key name the object.
	Kind string `json:"kind"`
	Key  string `json:"key"`
	// BasedOn is the revision of the object that the proposer read, 0 if the
	// object did not exist.
	BasedOn int64 `json:"based_on,omitempty"`
	// Since is the offset that the proposer had applied when it made the change.
	// A change is rejected as expired once the id of any change after that offset
	// is no longer tracked, so that a late retry cannot be applied twice.
	Since int64 `json:"since,omitempty"`
	// Op is OpPut or OpDelete.
	Op Op `json:"op"`
	// Value is the new value, absent for OpDelete.
	Value json.RawMessage `json:"value,omitempty"`
	// Time is when the proposer made the change, for information only.
	Time time.Time `json:"time,omitzero"`
}

// recordVersion is the version of the record format. All nodes skip records of
// another version or type.
const recordVersion = 1

type recordType string

const (
	typeChange recordType = "change"
	typeMark   recordType = "mark"
	typePart   recordType = "part"
)

// envelope is the outer structure of every record.
type envelope struct {
	Version int        `json:"v"`
	Type    recordType `json:"t"`
	Change  *Change    `json:"change,omitempty"`
	Part    *part      `json:"part,omitempty"`
}

// part is one part of a checkpoint. A checkpoint is the image of the state at the
// mark record with offset Mark, split into Total parts. Sum is the checksum of the
// complete image; parts by different writers belong together if their sums match.
type part struct {
	Mark  int64  `json:"mark"`
	Index int    `json:"index"`
	Total int    `json:"total"`
	Sum   string `json:"sum"`
	Data  []byte `json:"data"`
}

// Limits on the fields of a decoded record.
const (
	maxParts   = 1 << 16
	maxNameLen = 512
)

var errUnsupportedRecord = errors.New("unsupported record")

// decodeRecord decodes a record. It returns errUnsupportedRecord (wrapped) for a
// record that this version must skip; the decision depends only on the bytes.
func decodeRecord(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return envelope{}, fmt.Errorf("%w: %v", errUnsupportedRecord, err)
	}
	if e.Version != recordVersion {
		return envelope{}, fmt.Errorf("%w: version %d", errUnsupportedRecord, e.Version)
	}
	if err := e.validate(); err != nil {
		return envelope{}, fmt.Errorf("%w: %v", errUnsupportedRecord, err)
	}
	return e, nil
}

func (e envelope) validate() error {
	switch {
	case e.Type == typeMark:
		return nil
	case e.Type == typeChange && e.Change != nil:
		return e.Change.validate()
	case e.Type == typePart && e.Part != nil:
		return e.Part.validate()
	}
	return fmt.Errorf("type %q is unknown or has no content", e.Type)
}

func (c *Change) validate() error {
	switch {
	case c.ID == "" || c.Kind == "" || c.Key == "":
		return errors.New("id, kind and key must be set")
	case len(c.ID) > maxNameLen || len(c.Kind) > maxNameLen || len(c.Key) > maxNameLen:
		return fmt.Errorf("id, kind and key must not exceed %d bytes each", maxNameLen)
	case c.BasedOn < 0 || c.Since < 0:
		return errors.New("based_on and since must not be negative")
	case c.Op == OpPut && len(c.Value) > 0, c.Op == OpDelete && len(c.Value) == 0:
		return nil
	}
	return fmt.Errorf("operation %q does not match a value of %d bytes", c.Op, len(c.Value))
}

func (p *part) validate() error {
	if p.Mark < 1 || p.Total < 1 || p.Total > maxParts || p.Index < 0 || p.Index >= p.Total {
		return fmt.Errorf("part %d of %d at mark %d is out of range", p.Index, p.Total, p.Mark)
	}
	return nil
}

// encode returns v as JSON without escaping HTML characters, so that compact raw
// values inside it stay unchanged.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimRight(buf.Bytes(), "\n"), nil
}

func encodeChange(c Change) ([]byte, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	return encode(envelope{Version: recordVersion, Type: typeChange, Change: &c})
}

// canonicalJSON returns a JSON value without insignificant whitespace, so that its
// bytes do not depend on the whitespace in the record.
func canonicalJSON(raw json.RawMessage) json.RawMessage {
	var buf bytes.Buffer
	if err := json.Compact(&buf, raw); err != nil {
		return raw // not reached: raw comes from a decoded record
	}
	return buf.Bytes()
}

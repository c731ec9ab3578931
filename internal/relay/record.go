package relay

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"io"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// recordOverhead is the size of a record in a response, in bytes, without its key and value.
	recordOverhead = 64
	// compressFrom is the length in bytes from which values are compressed. A configuration of 50 routes
	// has 23 KB, which fits into a message only if compressed (4 KB). Without compression each node would
	// read each change of it from the store.
	compressFrom = 4 << 10
	// maxValueBytes is the maximum size of a decompressed value, larger than any record of the store.
	maxValueBytes = 4 << 20
)

// relayedRecord is a record in the form in which it is relayed.
type relayedRecord struct {
	follow.Record
	// Deflated is the value compressed with DEFLATE. If set, Value is nil.
	Deflated []byte `json:"deflated,omitempty"`
	// Long describes a long value to nodes that support it. If set, Value and Deflated are nil.
	Long *longValue `json:"long,omitempty"`
}

// newRelayedRecord returns a record in the form in which it is relayed: a long value is compressed.
func newRelayedRecord(r follow.Record) relayedRecord {
	if len(r.Value) < compressFrom {
		return relayedRecord{Record: r}
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return relayedRecord{Record: r} // cannot happen: the compression level is valid
	}
	if _, err = w.Write(r.Value); err != nil || w.Close() != nil {
		return relayedRecord{Record: r} // cannot happen: writes to a buffer do not fail
	}
	r.Value = nil
	return relayedRecord{Record: r, Deflated: buffer.Bytes()}
}

// encodedSize returns the record's approximate size in a response, in bytes.
func (r *relayedRecord) encodedSize() int {
	if r.Long != nil {
		return len(r.Key) + r.Long.encodedSize() + recordOverhead
	}
	return len(r.Key) + base64.StdEncoding.EncodedLen(len(r.Value)+len(r.Deflated)) + recordOverhead
}

// decompress returns the record with its decompressed value. It fails for invalid or oversized values.
func (r *relayedRecord) decompress() (follow.Record, error) {
	if len(r.Deflated) == 0 {
		return r.Record, nil
	}
	if r.Value != nil {
		return follow.Record{}, eris.Errorf("record %q has both a value and a compressed value", r.Key)
	}
	value, err := inflate(r.Deflated, maxValueBytes)
	if err != nil {
		return follow.Record{}, eris.Wrapf(err, "decompress record %q", r.Key)
	}
	record := r.Record
	record.Value = value
	return record, nil
}

// inflate decompresses data. It fails for invalid data and for more than maxBytes.
func inflate(data []byte, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > maxBytes {
		return nil, eris.Errorf("more than %d bytes", maxBytes)
	}
	return raw, nil
}

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
	// recordBytes is what an answer takes for a record beyond its key and its value.
	recordBytes = 64
	// longValue is the length from which values are told compressed. A configuration of 50 routes
	// is 23 KB, which no message holds, and 4 KB compressed: without it each node read each change
	// of it from the store.
	longValue = 4 << 10
	// mostValue bounds a value when it is decompressed: more than the store takes in a record.
	mostValue = 4 << 20
)

// toldRecord is a record as it is told.
type toldRecord struct {
	follow.Record
	// Deflated is the value compressed by DEFLATE, in place of it.
	Deflated []byte `json:"deflated,omitempty"`
}

// told returns a record as it is told: with its value compressed where that is long.
func told(r follow.Record) toldRecord {
	if len(r.Value) < longValue {
		return toldRecord{Record: r}
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return toldRecord{Record: r} // only for a level that there isn't
	}
	if _, err = w.Write(r.Value); err != nil || w.Close() != nil {
		return toldRecord{Record: r} // never: a buffer takes all
	}
	r.Value = nil
	return toldRecord{Record: r, Deflated: buffer.Bytes()}
}

// bytes returns what the record takes in an answer.
func (r *toldRecord) bytes() int {
	return len(r.Key) + base64.StdEncoding.EncodedLen(len(r.Value)+len(r.Deflated)) + recordBytes
}

// whole returns the record with its value.
func (r *toldRecord) whole() (follow.Record, error) {
	if len(r.Deflated) == 0 {
		return r.Record, nil
	}
	if r.Value != nil {
		return follow.Record{}, eris.Errorf("the record %q has two values", r.Key)
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), mostValue+1))
	if err != nil {
		return follow.Record{}, eris.Wrapf(err, "decompress the record %q", r.Key)
	}
	if len(value) > mostValue {
		return follow.Record{}, eris.Errorf("the record %q is longer than %d bytes", r.Key, mostValue)
	}
	whole := r.Record
	whole.Value = value
	return whole, nil
}

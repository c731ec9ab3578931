package relay

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// methodPart is the name of the method that returns parts of long values. Calls may be repeated.
	methodPart = "node.record-part"
	// longFrom is the length in bytes from which a value is long. What changed in a long value is relayed
	// to nodes that have an earlier version of it, and the whole value in parts.
	longFrom = compressFrom
	// partBytes is the size of a part. Encoded it takes four thirds of that in a message.
	partBytes = 11 << 10
	// maxInlineBytes is the maximum size of encoded data that a record carries itself.
	maxInlineBytes = 2 << 10
	// maxVersions is the number of earlier versions of a long value that a copy keeps: a node that polls is
	// one or two behind while versions follow each other closely.
	maxVersions = 3
	// noBase is the base of data that was encoded without an earlier version.
	noBase = -1
)

// errReplaced is returned for a part of a version that the copy no longer has.
var errReplaced = errors.New("relay: record was replaced")

// heldRecord names the version of a long record that a node has.
type heldRecord struct {
	Key    string `json:"key"`
	Offset int64  `json:"offset"`
}

// longValue is a long value that is relayed apart from its record.
type longValue struct {
	Digest []byte `json:"digest"` // SHA-256 of the value
	// Base is the offset of the earlier version of the record that is needed to decode the data, or noBase.
	Base  int64 `json:"base"`
	Parts int   `json:"parts"`
	// Data is the encoded value if it is short. Otherwise its parts are requested.
	Data []byte `json:"data,omitempty"`
}

// partRequest requests a part of the encoded value of a record.
type partRequest struct {
	Topic  string `json:"topic"`
	Key    string `json:"key"`
	Offset int64  `json:"offset"`
	Base   int64  `json:"base"`
	Part   int    `json:"part"`
}

// partResponse is a part of an encoded value.
type partResponse struct {
	Data []byte `json:"data"`
}

// encoding identifies an encoded value: the version of the record, and the one it is based on.
type encoding struct{ offset, base int64 }

// encodedValue is a compressed value.
type encodedValue struct {
	digest [sha256.Size]byte // of the value
	data   []byte
}

func (v *encodedValue) parts() int { return max((len(v.data)+partBytes-1)/partBytes, 1) }

// part returns one part of the data, and false if there is no such part.
func (v *encodedValue) part(number int) ([]byte, bool) {
	if number < 0 || number >= v.parts() {
		return nil, false
	}
	return v.data[number*partBytes : min((number+1)*partBytes, len(v.data))], true
}

// describe returns the value in the form in which it is relayed.
func (v *encodedValue) describe(base int64) *longValue {
	l := &longValue{Digest: v.digest[:], Base: base, Parts: v.parts()}
	if len(v.data) <= maxInlineBytes {
		l.Data = v.data
	}
	return l
}

// encodedSize returns the approximate size in a response, in bytes.
func (l *longValue) encodedSize() int {
	return base64.StdEncoding.EncodedLen(len(l.Digest)+len(l.Data)) + recordOverhead
}

// longRecord holds what a copy keeps of a long record besides its newest version.
type longRecord struct {
	earlier []follow.Record // oldest first
	encoded map[encoding]*encodedValue
}

// replace records that a version was replaced. Encoded forms of it are kept for nodes that have some of
// their parts; those of earlier versions are not.
func (l *longRecord) replace(before follow.Record) {
	l.earlier = append(l.earlier, before)
	if len(l.earlier) > maxVersions {
		l.earlier = slices.Delete(l.earlier, 0, 1)
	}
	for e := range l.encoded {
		if e.offset < before.Offset {
			delete(l.encoded, e)
		}
	}
}

// version returns an earlier version, or nil.
func (l *longRecord) version(offset int64) []byte {
	for i := range l.earlier {
		if l.earlier[i].Offset == offset {
			return l.earlier[i].Value
		}
	}
	return nil
}

// encode returns the encoded form of the newest version of a record for a node that has the version at an
// offset, with the base that it needs: noBase if the copy doesn't have that version.
func (l *longRecord) encode(newest follow.Record, held int64) (_ *encodedValue, base int64, err error) {
	base = held
	value := l.version(held)
	if value == nil {
		base = noBase
	}
	key := encoding{newest.Offset, base}
	if cached := l.encoded[key]; cached != nil {
		return cached, base, nil
	}
	made, err := encodeValue(newest.Value, value)
	if err != nil {
		return nil, 0, err
	}
	l.encoded[key] = made
	return made, base, nil
}

// longRecordOf returns what the copy keeps of a long record. c.mu is held.
func (c *Copy) longRecordOf(key string) *longRecord {
	l := c.long[key]
	if l == nil {
		l = &longRecord{encoded: make(map[encoding]*encodedValue)}
		if c.long == nil {
			c.long = make(map[string]*longRecord)
		}
		c.long[key] = l
	}
	return l
}

// setLong records whether the newest version of a record is long. c.mu is held.
func (c *Copy) setLong(r follow.Record) {
	if len(r.Value) >= longFrom {
		c.longKeys[r.Key] = true
	} else if c.longKeys[r.Key] {
		delete(c.longKeys, r.Key)
		delete(c.long, r.Key)
	}
}

// keepVersion keeps the version of a long record that is replaced, if the copy serves other nodes. c.mu is
// held.
func (c *Copy) keepVersion(before follow.Record) {
	if c.serves && len(before.Value) >= longFrom {
		c.longRecordOf(before.Key).replace(before)
	}
}

// relayLong returns a long record in the form in which it is relayed to a node that has the version at an
// offset. c.mu is held.
func (c *Copy) relayLong(r follow.Record, held int64) (relayedRecord, error) {
	encoded, base, err := c.longRecordOf(r.Key).encode(r, held)
	if err != nil {
		return relayedRecord{}, err
	}
	relayed := relayedRecord{Record: r, Long: encoded.describe(base)}
	relayed.Value = nil
	return relayed, nil
}

// held returns the long records of the copy.
func (c *Copy) held() []heldRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []heldRecord
	for key := range c.longKeys {
		records = append(records, heldRecord{Key: key, Offset: c.latest[key].Offset})
	}
	return records
}

// value returns the value of the newest version of a record if it is the one at an offset.
func (c *Copy) value(key string, offset int64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.latest[key]; r.Offset == offset {
		return r.Value
	}
	return nil
}

// part returns a part of the encoded value of a record.
func (c *Copy) part(req *partRequest) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest, known := c.latest[req.Key]
	if !known {
		return nil, ErrUnknown
	}
	l := c.longRecordOf(req.Key)
	encoded := l.encoded[encoding{req.Offset, req.Base}]
	if encoded == nil {
		if newest.Offset != req.Offset || newest.Value == nil {
			return nil, errReplaced
		}
		made, base, err := l.encode(newest, req.Base)
		if err != nil {
			return nil, err
		}
		if base != req.Base {
			return nil, errReplaced
		}
		encoded = made
	}
	data, ok := encoded.part(req.Part)
	if !ok {
		return nil, eris.Errorf("record %q has no part %d", req.Key, req.Part)
	}
	return data, nil
}

func (c *Copy) servePart(req *partRequest) (any, error) {
	data, err := c.part(req)
	if err != nil {
		return nil, err
	}
	return partResponse{Data: data}, nil
}

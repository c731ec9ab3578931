package kvindex

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// errPacked is returned for data that packChanges can't have written.
var errPacked = eris.New("decode packed changes: truncated data or a number out of range")

// packedChanges is a compact encoding of changes of one store in ascending order of their numbers:
// the number of salts and the salts, then for each change the difference of its number to the
// previous one, the index of its salt, the part's id and its tokens. Numbers are unsigned varints,
// and strings are prefixed with their length. The prefix of an id is twice its length, plus one if
// the id is hexadecimal and encoded as bytes. A change takes about 12 bytes; it would take 18
// with ids as text, and 78 as JSON. The size matters because every node receives an event for every
// saved part.
type packedChanges []byte

// packChanges encodes changes, which must be in ascending order of their numbers.
func packChanges(changes []Change) packedChanges {
	var data packedChanges
	salts := make(map[string]uint64)
	var saltList []string
	for _, c := range changes {
		if _, known := salts[c.Part.Salt]; !known {
			salts[c.Part.Salt] = uint64(len(saltList))
			saltList = append(saltList, c.Part.Salt)
		}
	}
	data = binary.AppendUvarint(data, uint64(len(saltList)))
	for _, salt := range saltList {
		data = appendText(data, salt)
	}
	last := int64(0)
	for _, c := range changes {
		data = binary.AppendUvarint(data, uint64(c.Number-last))
		data = binary.AppendUvarint(data, salts[c.Part.Salt])
		data = appendID(data, c.Part.ID)
		data = binary.AppendUvarint(data, uint64(c.Tokens))
		last = c.Number
	}
	return data
}

func appendText(data []byte, text string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(text))), text...)
}

// appendID appends a part's id, as bytes if it is lower-case hexadecimal like a hash.
func appendID(data []byte, id string) []byte {
	raw, err := hex.DecodeString(id)
	if err != nil || hex.EncodeToString(raw) != id {
		return append(binary.AppendUvarint(data, uint64(len(id))<<1), id...)
	}
	return append(binary.AppendUvarint(data, uint64(len(raw))<<1|1), raw...)
}

// unpack decodes the changes.
func (p packedChanges) unpack() ([]Change, error) {
	r := unpacker{data: p}
	salts := make([]string, 0, 4)
	for range r.number(len(p)) {
		salts = append(salts, r.text())
	}
	var changes []Change
	number := int64(0)
	for len(r.data) > 0 && !r.failed {
		number += int64(r.number(maxNumber))
		salt := r.number(len(salts) - 1)
		c := Change{Number: number, Part: Part{ID: r.id()}, Tokens: r.number(maxTokens)}
		if r.failed || number > maxNumber {
			break
		}
		c.Part.Salt = salts[salt]
		changes = append(changes, c)
	}
	if r.failed || number > maxNumber {
		return nil, errPacked
	}
	return changes, nil
}

const (
	// maxNumber and maxTokens bound decoded values, so that sums of them don't overflow.
	maxNumber = 1 << 60
	maxTokens = 1 << 40
)

// unpacker reads fields from packed changes. After the first invalid field it returns zero values
// only.
type unpacker struct {
	data   []byte
	failed bool
}

// number reads an unsigned varint of at most limit.
func (r *unpacker) number(limit int) int {
	n, length := binary.Uvarint(r.data)
	if r.failed || length <= 0 || limit < 0 || n > uint64(limit) {
		r.failed = true
		return 0
	}
	r.data = r.data[length:]
	return int(n)
}

// text reads a length-prefixed string.
func (r *unpacker) text() string { return string(r.bytes(r.number(len(r.data)))) }

// id reads a part's id.
func (r *unpacker) id() string {
	length := r.number(2*len(r.data) + 1)
	raw := r.bytes(length >> 1)
	if length&1 == 1 {
		return hex.EncodeToString(raw)
	}
	return string(raw)
}

// bytes reads n bytes.
func (r *unpacker) bytes(n int) []byte {
	if r.failed || n > len(r.data) {
		r.failed = true
		return nil
	}
	field := r.data[:n]
	r.data = r.data[n:]
	return field
}

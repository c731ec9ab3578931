package kept

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// errPacked is returned for what packChanges doesn't write.
var errPacked = eris.New("packed changes end early, or hold what is no number")

// packed are changes of one store in the order of their numbers, in short: the number of salts
// and the salts; then for each change how much its number is above the one before, which of the
// salts, the part's id and its tokens. Numbers are unsigned varints, and texts have their length
// before them. An id has twice the length before it, and one more where it is hexadecimal and stands
// as bytes. A change takes 12 bytes of a message, 18 with ids as text, 78 as JSON (300 changes with
// ids of 8 digits): each of 295 nodes hears of all parts that are saved.
type packed []byte

// packChanges packs changes whose numbers rise.
func packChanges(changes []Change) packed {
	var data packed
	salts := make(map[string]uint64)
	var names []string
	for _, c := range changes {
		if _, known := salts[c.Part.Salt]; !known {
			salts[c.Part.Salt] = uint64(len(names))
			names = append(names, c.Part.Salt)
		}
	}
	data = binary.AppendUvarint(data, uint64(len(names)))
	for _, name := range names {
		data = appendText(data, name)
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

// appendID appends a part's id: as bytes where it is hexadecimal, as hashes are.
func appendID(data []byte, id string) []byte {
	raw, err := hex.DecodeString(id)
	if err != nil || hex.EncodeToString(raw) != id {
		return append(binary.AppendUvarint(data, uint64(len(id))<<1), id...)
	}
	return append(binary.AppendUvarint(data, uint64(len(raw))<<1|1), raw...)
}

// unpack returns the changes.
func (p packed) unpack() ([]Change, error) {
	r := unpacker{data: p}
	salts := make([]string, 0, 4)
	for range r.number(len(p)) {
		salts = append(salts, r.text())
	}
	var changes []Change
	number := int64(0)
	for len(r.data) > 0 && !r.failed {
		number += int64(r.number(mostNumber))
		salt := r.number(len(salts) - 1)
		c := Change{Number: number, Part: Part{ID: r.id()}, Tokens: r.number(mostTokens)}
		if r.failed || number > mostNumber {
			break
		}
		c.Part.Salt = salts[salt]
		changes = append(changes, c)
	}
	if r.failed || number > mostNumber {
		return nil, errPacked
	}
	return changes, nil
}

const (
	// mostNumber and mostTokens bound what is unpacked: sums of them stay exact.
	mostNumber = 1 << 60
	mostTokens = 1 << 40
)

// unpacker takes fields off packed changes. After a field that can't be taken it gives nothing
// but zeros.
type unpacker struct {
	data   []byte
	failed bool
}

// number takes a number of at most most.
func (r *unpacker) number(most int) int {
	n, length := binary.Uvarint(r.data)
	if r.failed || length <= 0 || most < 0 || n > uint64(most) {
		r.failed = true
		return 0
	}
	r.data = r.data[length:]
	return int(n)
}

// text takes a text.
func (r *unpacker) text() string { return string(r.bytes(r.number(len(r.data)))) }

// id takes a part's id.
func (r *unpacker) id() string {
	length := r.number(2*len(r.data) + 1)
	raw := r.bytes(length >> 1)
	if length&1 == 1 {
		return hex.EncodeToString(raw)
	}
	return string(raw)
}

// bytes takes so many bytes.
func (r *unpacker) bytes(n int) []byte {
	if r.failed || n > len(r.data) {
		r.failed = true
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

package peerload

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// minSumBytes is the length of the shortest encoded sum, minCoarseSumBytes that of the
	// shortest coarse one.
	minSumBytes, minCoarseSumBytes = 9, 7
	// coarseTokenUnit is the number of tokens per unit in coarse sums: a hundredth of an engine's
	// memory.
	coarseTokenUnit = 1024
)

// encode returns the sums in the format of Aggregate.Loads.
func (s Sums) encode() []byte {
	data := make([]byte, 0, len(s)*(minSumBytes+6))
	for key, sum := range s {
		if sum == (Sum{}) {
			continue
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(key))
		for _, n := range []int{sum.Running, sum.PendingPromptTokens, sum.HeldTokens, sum.failures, sum.reporters} {
			data = binary.AppendUvarint(data, uint64(n))
		}
	}
	return data
}

const (
	// sumFields and coarseFields are the numbers of fields in an encoded sum and in a coarse one.
	sumFields    = 5
	coarseFields = 3
)

// addEncoded adds sums that encode wrote. It fails if the data is truncated or a number exceeds
// maxCount.
func (s Sums) addEncoded(data []byte) error {
	return forEachSum(data, sumFields, func(key loadKey, n *[sumFields]int) {
		s[key] = s[key].plus(Sum{Running: n[0], PendingPromptTokens: n[1], HeldTokens: n[2], failures: n[3], reporters: n[4]})
	})
}

// encodeCoarse returns the sums for nodes of other failure domains, in 7 bytes for most endpoints:
// a key in the format of encode, followed by unsigned varints: running requests, and pending prompt
// tokens and held tokens in units of coarseTokenUnit. Failures are left out.
func (s Sums) encodeCoarse() []byte {
	data := make([]byte, 0, len(s)*(minCoarseSumBytes+1))
	for key, sum := range s {
		if sum.Running == 0 && sum.PendingPromptTokens == 0 && sum.HeldTokens == 0 {
			continue
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(key))
		for _, n := range []int{sum.Running, toCoarseUnits(sum.PendingPromptTokens), toCoarseUnits(sum.HeldTokens)} {
			data = binary.AppendUvarint(data, uint64(n))
		}
	}
	return data
}

// toCoarseUnits converts tokens to units of coarseTokenUnit, rounding to the nearest.
func toCoarseUnits(tokens int) int { return (tokens + coarseTokenUnit/2) / coarseTokenUnit }

// addCoarse adds sums that encodeCoarse wrote. It fails as addEncoded does.
func (s Sums) addCoarse(data []byte) error {
	return forEachSum(data, coarseFields, func(key loadKey, n *[sumFields]int) {
		s[key] = s[key].plus(Sum{Running: n[0], PendingPromptTokens: n[1] * coarseTokenUnit, HeldTokens: n[2] * coarseTokenUnit})
	})
}

// checkSums returns an error if encoded sums with the given number of fields are invalid.
func checkSums(data []byte, fieldCount int) error {
	return forEachSum(data, fieldCount, func(loadKey, *[sumFields]int) {})
}

// forEachSum calls f with each encoded sum, each of which has the given number of fields.
func forEachSum(data []byte, fieldCount int, f func(key loadKey, fields *[sumFields]int)) error {
	var fields [sumFields]int
	for len(data) > 0 {
		key, rest, err := decodeSum(data, fields[:fieldCount])
		if err != nil {
			return err
		}
		f(key, &fields)
		data = rest
	}
	return nil
}

// decodeSum decodes the first sum of the data into fields and returns its key and the remaining
// data.
func decodeSum(data []byte, fields []int) (key loadKey, rest []byte, err error) {
	const keyBytes = 4
	if len(data) < keyBytes {
		return 0, nil, eris.New("decode load sums: data is truncated")
	}
	key = loadKey(binary.LittleEndian.Uint32(data))
	data = data[keyBytes:]
	for i := range fields {
		n, length := binary.Uvarint(data)
		if length <= 0 || n > maxCount {
			return 0, nil, eris.New("decode load sums: a number is invalid or out of range")
		}
		fields[i], data = int(n), data[length:]
	}
	return key, data, nil
}

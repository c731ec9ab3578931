package peerload

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// loadLeast is the length of the shortest encoded sum, coarseLeast of the shortest coarse one.
	loadLeast, coarseLeast = 9, 7
	// coarseTokens is what tokens are counted in where they are told coarsely: a hundredth of an
	// engine's memory.
	coarseTokens = 1024
)

// encode returns the sums as Collected.Loads holds them.
func (s Sums) encode() []byte {
	data := make([]byte, 0, len(s)*(loadLeast+6))
	for key, sum := range s {
		if sum == (Sum{}) {
			continue
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(key))
		for _, n := range []int{sum.Running, sum.Reading, sum.Holding, sum.failures, sum.witnesses} {
			data = binary.AppendUvarint(data, uint64(n))
		}
	}
	return data
}

// sumFields is the number of numbers of a sum.
const sumFields = 5

// decodeSums decodes what encode returns. Numbers beyond what digests carry are refused.
func decodeSums(data []byte) (Sums, error) {
	sums := make(Sums, len(data)/loadLeast)
	for len(data) > 0 {
		key, fields, rest, err := decodeSum(data, sumFields)
		if err != nil {
			return nil, err
		}
		sums[key] = Sum{Running: fields[0], Reading: fields[1], Holding: fields[2], failures: fields[3], witnesses: fields[4]}
		data = rest
	}
	return sums, nil
}

// encodeCoarse returns the sums in 7 bytes for most endpoints, for nodes of other failure
// domains: a key as encode writes it, and as unsigned varints running requests, and tokens to
// read and held in units of coarseTokens. Failures are left out.
func (s Sums) encodeCoarse() []byte {
	data := make([]byte, 0, len(s)*(coarseLeast+1))
	for key, sum := range s {
		if sum.Running == 0 && sum.Reading == 0 && sum.Holding == 0 {
			continue
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(key))
		for _, n := range []int{sum.Running, units(sum.Reading), units(sum.Holding)} {
			data = binary.AppendUvarint(data, uint64(n))
		}
	}
	return data
}

// units returns tokens in units of coarseTokens, rounded.
func units(tokens int) int { return (tokens + coarseTokens/2) / coarseTokens }

// decodeCoarse decodes what encodeCoarse returns.
func decodeCoarse(data []byte) (Sums, error) {
	sums := make(Sums, len(data)/coarseLeast)
	for len(data) > 0 {
		key, fields, rest, err := decodeSum(data, 3)
		if err != nil {
			return nil, err
		}
		sums[key] = Sum{Running: fields[0], Reading: fields[1] * coarseTokens, Holding: fields[2] * coarseTokens}
		data = rest
	}
	return sums, nil
}

// decodeSum takes one sum of so many numbers, at most sumFields, off the data.
func decodeSum(data []byte, numbers int) (key loadKey, fields [sumFields]int, rest []byte, err error) {
	const keyBytes = 4
	if len(data) < keyBytes {
		return 0, fields, nil, eris.New("sums of loads end early")
	}
	key = loadKey(binary.LittleEndian.Uint32(data))
	data = data[keyBytes:]
	for i := range numbers {
		n, length := binary.Uvarint(data)
		if length <= 0 || n > mostCounted {
			return 0, fields, nil, eris.New("sums of loads hold what is no number")
		}
		fields[i], data = int(n), data[length:]
	}
	return key, fields, data, nil
}

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

// sumFields and coarseFields are the numbers of an encoded sum, and of a coarse one.
const (
	sumFields    = 5
	coarseFields = 3
)

// addEncoded adds what encode returned. It fails where that holds numbers beyond what digests carry,
// or is cut off.
func (s Sums) addEncoded(data []byte) error {
	return eachSum(data, sumFields, func(key loadKey, n *[sumFields]int) {
		s[key] = s[key].plus(Sum{Running: n[0], Reading: n[1], Holding: n[2], failures: n[3], witnesses: n[4]})
	})
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

// addCoarse adds what encodeCoarse returned, as addEncoded does.
func (s Sums) addCoarse(data []byte) error {
	return eachSum(data, coarseFields, func(key loadKey, n *[sumFields]int) {
		s[key] = s[key].plus(Sum{Running: n[0], Reading: n[1] * coarseTokens, Holding: n[2] * coarseTokens})
	})
}

// checkSums returns an error where encoded sums of so many numbers each can't be added.
func checkSums(data []byte, numbers int) error {
	return eachSum(data, numbers, func(loadKey, *[sumFields]int) {})
}

// eachSum calls f with each of the encoded sums of so many numbers.
func eachSum(data []byte, numbers int, f func(key loadKey, fields *[sumFields]int)) error {
	var fields [sumFields]int
	for len(data) > 0 {
		key, rest, err := decodeSum(data, fields[:numbers])
		if err != nil {
			return err
		}
		f(key, &fields)
		data = rest
	}
	return nil
}

// decodeSum takes one sum of as many numbers as there are fields off the data.
func decodeSum(data []byte, fields []int) (key loadKey, rest []byte, err error) {
	const keyBytes = 4
	if len(data) < keyBytes {
		return 0, nil, eris.New("sums of loads end early")
	}
	key = loadKey(binary.LittleEndian.Uint32(data))
	data = data[keyBytes:]
	for i := range fields {
		n, length := binary.Uvarint(data)
		if length <= 0 || n > mostCounted {
			return 0, nil, eris.New("sums of loads hold what is no number")
		}
		fields[i], data = int(n), data[length:]
	}
	return key, data, nil
}

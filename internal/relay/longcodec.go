package relay

import (
	"crypto/sha256"
	"math/bits"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// patchDictionary identifies the earlier version in encoded data.
const patchDictionary = 1

// encodeValue compresses a value. If base is not nil, the result is small if value differs little from
// base, and base is needed to decode it.
func encodeValue(value, base []byte) (*encodedValue, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(windowSize(len(value) + len(base))),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(patchDictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "compress value")
	}
	return &encodedValue{digest: sha256.Sum256(value), data: encoder.EncodeAll(value, nil)}, nil
}

// windowSize returns the smallest window of the compression that covers a number of bytes. The encoder's memory
// grows with it.
func windowSize(bytes int) int {
	return min(max(1<<bits.Len(uint(bytes)), zstd.MinWindowSize), zstd.MaxWindowSize)
}

// decodeValue is the inverse of encodeValue. It fails if the result does not have the digest.
func decodeValue(data, base, digest []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(patchDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "decompress value")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, eris.Wrap(err, "decompress value")
	}
	if sum := sha256.Sum256(value); !slices.Equal(sum[:], digest) {
		return nil, eris.New("decompressed value does not have the digest of the record")
	}
	return value, nil
}

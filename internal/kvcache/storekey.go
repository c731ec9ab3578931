package kvcache

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	layoutTagBytes = 8
	keySeparator   = "."
	keyParts       = 3
)

// storeKey identifies a stored block by the prefix that it ends, its position among
// the blocks of the chain and its KV layout.
type storeKey struct {
	at     Fingerprint
	layout [layoutTagBytes]byte
	index  int32
}

func newStoreKey(at Fingerprint, layout string, index int) storeKey {
	return storeKey{at: at, layout: layoutTag(layout), index: int32(index)}
}

func layoutTag(layout string) [layoutTagBytes]byte {
	sum := sha256.Sum256([]byte(layout))
	return [layoutTagBytes]byte(sum[:layoutTagBytes])
}

// String returns the manifest's key.
func (k storeKey) String() string {
	return k.at.String() + keySeparator + hex.EncodeToString(k.layout[:]) + keySeparator + strconv.Itoa(int(k.index))
}

// parseStoreKey parses a key in exactly the format of String.
func parseStoreKey(text string) (storeKey, bool) {
	var k storeKey
	parts := strings.Split(text, keySeparator)
	if len(parts) != keyParts || len(parts[0]) != 2*fingerprintSize || len(parts[1]) != 2*layoutTagBytes {
		return storeKey{}, false
	}
	if _, err := hex.Decode(k.at[:], []byte(parts[0])); err != nil {
		return storeKey{}, false
	}
	if _, err := hex.Decode(k.layout[:], []byte(parts[1])); err != nil {
		return storeKey{}, false
	}
	index, err := strconv.ParseInt(parts[2], 10, 32)
	if err != nil || index < 0 {
		return storeKey{}, false
	}
	k.index = int32(index)
	return k, k.String() == text
}

package origin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// keyBytes is the length of a Key. It is long enough that no account can find a request id of its own with
// the key of another account's.
const keyBytes = 16

// Key identifies a request by its client account and its id. The zero Key identifies none.
type Key [keyBytes]byte

// KeyOf returns the key of a request. account is empty on public routes.
func KeyOf(account, id string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(account)))
	h.Write(length[:]) // hash.Hash never returns an error
	h.Write([]byte(account))
	h.Write([]byte(id))
	var sum [sha256.Size]byte
	return Key(h.Sum(sum[:0])[:keyBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, k[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	data, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return eris.Wrap(err, "decode the key of a stream")
	}
	if len(data) != keyBytes {
		return eris.Errorf("decode the key of a stream: %d bytes", len(data))
	}
	*k = Key(data)
	return nil
}

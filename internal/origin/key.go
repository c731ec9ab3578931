package origin

import (
	"encoding/base64"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/ticket"
)

// keyBytes is the length of a Key. It is long enough that no account can find a request id of its own with
// the key of another account's.
const keyBytes = 16

// Key identifies a request by its client account and its id. The zero Key identifies none.
type Key [keyBytes]byte

// KeyOf returns the key of a request. account is empty on public routes.
func KeyOf(account, id string) Key {
	sum := ticket.FingerprintOf([]byte(account), []byte(id))
	return Key(sum[:keyBytes])
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

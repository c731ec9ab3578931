package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// fingerprintBytes is the length of a fingerprint: enough that no account finds a request of its
// own with the fingerprint of another account's.
const fingerprintBytes = 16

// Fingerprint identifies a request by its client account and by what is the same each time that it
// comes: its method, host, path, query and body. Callers give each try an id of its own.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. account is empty on public routes; target is
// the path and query as the caller wrote them.
func FingerprintOf(account, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{account, method, host, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:]) // a hash never fails
		h.Write([]byte(field))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) (err error) {
	*f, err = ParseFingerprint(string(text))
	return err
}

// ParseFingerprint reads what String returns.
func ParseFingerprint(s string) (Fingerprint, error) {
	data, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, eris.Wrap(err, "decode a request's fingerprint")
	}
	if len(data) != fingerprintBytes {
		return Fingerprint{}, eris.Errorf("a request's fingerprint has %d bytes", len(data))
	}
	return Fingerprint(data), nil
}

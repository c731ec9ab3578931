package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// fingerprintBytes is the length of a fingerprint. It is long enough that no account can find a request
// of its own with the same fingerprint as a request of another account.
const fingerprintBytes = 16

// Fingerprint identifies a request by its client account and by the parts that are equal in each
// attempt: method, host, path, query and body. Request ids are not included, because callers use a new
// one for each attempt.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. account is empty on public routes; target is the
// path and query as sent by the caller.
func FingerprintOf(account, method, host, target string, body []byte) Fingerprint {
	return hashOf(body, account, method, host, target)
}

// hashOf returns a hash of the fields and of what follows them.
func hashOf(rest []byte, fields ...string) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:]) // hash.Hash never returns an error
		h.Write([]byte(field))
	}
	h.Write(rest)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) (err error) {
	*f, err = ParseFingerprint(string(text))
	return err
}

// ParseFingerprint parses the output of String. It fails if s is not hexadecimal or has the wrong
// length.
func ParseFingerprint(s string) (Fingerprint, error) {
	data, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, eris.Wrap(err, "decode request fingerprint")
	}
	if len(data) != fingerprintBytes {
		return Fingerprint{}, eris.Errorf("decode request fingerprint: wrong length of %d bytes", len(data))
	}
	return Fingerprint(data), nil
}

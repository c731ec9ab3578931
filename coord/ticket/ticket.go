package ticket

import (
	"crypto/hmac"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
)

const (
	// MinKeyBytes is the minimum length of a Key.
	MinKeyBytes = 32
	// MaxNameBytes is the maximum length of a node ID and of an account ID.
	MaxNameBytes = 255

	version         = 1
	macBytes        = 16
	macLabel        = "cherryward execution ticket"
	maxEncodedBytes = 1024
	maxHeaderBytes  = 1 + 8 + binary.MaxVarintLen64
)

var encoding = base64.RawURLEncoding.Strict()

// Key is the secret key that authenticates tickets. All nodes of a system use
// the same key.
type Key []byte

// Incarnation identifies one start of a node's process.
type Incarnation struct {
	Node   string `json:"node"`
	Number uint64 `json:"run"` // random number chosen at each start
}

// NewIncarnation returns a new incarnation of the node. Call it once in each
// process, and never store the result for use by a later process.
func NewIncarnation(node string) Incarnation {
	var random [8]byte
	crand.Read(random[:]) // never fails
	return Incarnation{Node: node, Number: binary.BigEndian.Uint64(random[:])}
}

// Ticket authorises its executor to run one call at most once.
type Ticket struct {
	Incarnation Incarnation
	Serial      uint64 // numbered separately for each account of the executor
	Account     string
}

// Encode returns the ticket with its authentication code, as a string of URL-safe
// characters.
func (t Ticket) Encode(key Key) string {
	b := make([]byte, 0, maxHeaderBytes+2+len(t.Incarnation.Node)+len(t.Account)+macBytes)
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation.Number)
	b = binary.AppendUvarint(b, t.Serial)
	b = appendName(b, t.Incarnation.Node)
	b = appendName(b, t.Account)
	b = append(b, mac(key, b)...)
	return encoding.EncodeToString(b)
}

// Parse decodes and authenticates a ticket, which any node with the key can do.
// It fails with an *Error of ReasonMalformed or ReasonForged. It does not check
// the account that presents the ticket; [Executor.Do] and [Redeemer.Redeem] do.
func Parse(key Key, s string) (Ticket, error) {
	if len(s) > maxEncodedBytes || strings.ContainsAny(s, "\r\n") {
		return Ticket{}, attemptError(ReasonMalformed, NotRun, nil)
	}
	raw, err := encoding.DecodeString(s)
	if err != nil {
		return Ticket{}, attemptError(ReasonMalformed, NotRun, err)
	}
	if len(raw) <= macBytes || raw[0] != version {
		return Ticket{}, attemptError(ReasonMalformed, NotRun, errors.New("unknown form"))
	}
	body, tag := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(tag, mac(key, body)) {
		return Ticket{}, attemptError(ReasonForged, NotRun, nil)
	}
	t, ok := decodeBody(body[1:])
	if !ok {
		return Ticket{}, attemptError(ReasonMalformed, NotRun, errors.New("truncated"))
	}
	return t, nil
}

func decodeBody(b []byte) (Ticket, bool) {
	var t Ticket
	if len(b) < 8 {
		return t, false
	}
	t.Incarnation.Number = binary.BigEndian.Uint64(b)
	serial, n := binary.Uvarint(b[8:])
	if n <= 0 {
		return t, false
	}
	t.Serial = serial
	node, rest, ok := cutName(b[8+n:])
	if !ok {
		return t, false
	}
	account, rest, ok := cutName(rest)
	if !ok || len(rest) != 0 {
		return t, false
	}
	t.Incarnation.Node, t.Account = node, account
	return t, true
}

func appendName(b []byte, name string) []byte {
	b = append(b, byte(len(name)))
	return append(b, name...)
}

func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	end := 1 + int(b[0])
	return string(b[1:end]), b[end:], true
}

func mac(key Key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macLabel))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// Fingerprint is a hash that identifies a request. A ticket is bound to the
// request for which its call is started, while the call runs and as long as its
// answer is cached.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the hash of the parts of a request, such as its method,
// path and body.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

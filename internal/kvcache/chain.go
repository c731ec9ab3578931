package kvcache

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// Sizes of the chain.
const (
	TextChunkBytes  = 2048  // bytes of prompt text per fingerprint
	TokenChunkIDs   = 512   // token ids per fingerprint
	fingerprintSize = 16    // bytes
	maxChainLength  = 16384 // maximum number of fingerprints accepted when decoding
)

const (
	chainDomain  = "cherryward/kvcache/chain/v1"
	tokenIDBytes = 8
)

// ErrBadChain is returned for a chain encoding that cannot be decoded.
var ErrBadChain = errors.New("kvcache: malformed chain")

// Unit is the unit in which a prompt is measured.
type Unit uint8

// The units of a prompt.
const (
	UnitText   Unit = iota // bytes of text
	UnitTokens             // token ids
)

// ChunkSize returns the number of units per fingerprint.
func (u Unit) ChunkSize() int {
	if u == UnitTokens {
		return TokenChunkIDs
	}
	return TextChunkBytes
}

// Identity is hashed into every fingerprint of a chain, so prompts whose identities
// differ in any field never share a fingerprint. Adapter is empty for the base
// model.
type Identity struct {
	Account string
	Model   string
	Version string
	Adapter string
}

// Fingerprint identifies a prefix of a prompt together with its Identity.
type Fingerprint [fingerprintSize]byte

// String returns the fingerprint as lower-case hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Chain holds the fingerprints of a prompt's prefixes, one per complete chunk, in
// order. A partial chunk at the end has no fingerprint.
type Chain []Fingerprint

var (
	_ json.Marshaler   = Chain(nil)
	_ json.Unmarshaler = (*Chain)(nil)
)

// TextChain returns the chain of a text prompt. It allocates only the result.
func (id Identity) TextChain(prompt string) Chain {
	chain := make(Chain, len(prompt)/TextChunkBytes)
	digest := id.rootDigest(UnitText)
	var buf [sha256.Size + TextChunkBytes]byte
	for i := range chain {
		copy(buf[:], digest[:])
		copy(buf[sha256.Size:], prompt[i*TextChunkBytes:])
		digest = sha256.Sum256(buf[:])
		copy(chain[i][:], digest[:])
	}
	return chain
}

// TokenChain returns the chain of a prompt of token ids. It allocates only the
// result.
func (id Identity) TokenChain(ids []int) Chain {
	chain := make(Chain, len(ids)/TokenChunkIDs)
	digest := id.rootDigest(UnitTokens)
	var buf [sha256.Size + TokenChunkIDs*tokenIDBytes]byte
	for i := range chain {
		copy(buf[:], digest[:])
		for j, token := range ids[i*TokenChunkIDs : (i+1)*TokenChunkIDs] {
			binary.BigEndian.PutUint64(buf[sha256.Size+j*tokenIDBytes:], uint64(token))
		}
		digest = sha256.Sum256(buf[:])
		copy(chain[i][:], digest[:])
	}
	return chain
}

// Root returns the fingerprint of the empty prefix, which depends only on the
// identity and the unit.
func (id Identity) Root(unit Unit) Fingerprint {
	digest := id.rootDigest(unit)
	return Fingerprint(digest[:fingerprintSize])
}

func (id Identity) rootDigest(unit Unit) [sha256.Size]byte {
	return sha256.Sum256(encodeFields(chainDomain, string(rune('0'+unit)), id.Account, id.Model, id.Version, id.Adapter))
}

// encodeFields prefixes each field with its length, so that different lists of
// fields always have different encodings.
func encodeFields(fields ...string) []byte {
	var out []byte
	for _, field := range fields {
		out = binary.BigEndian.AppendUint64(out, uint64(len(field)))
		out = append(out, field...)
	}
	return out
}

// MarshalJSON encodes the chain as a single base64 string, about 22 bytes per
// fingerprint.
func (c Chain) MarshalJSON() ([]byte, error) {
	raw := make([]byte, 0, len(c)*fingerprintSize)
	for i := range c {
		raw = append(raw, c[i][:]...)
	}
	size := base64.RawStdEncoding.EncodedLen(len(raw))
	out := make([]byte, 0, size+2)
	out = append(out, '"')
	out = base64.RawStdEncoding.AppendEncode(out, raw)
	return append(out, '"'), nil
}

// UnmarshalJSON decodes the output of MarshalJSON. It returns ErrBadChain for
// any other input and for chains longer than maxChainLength.
func (c *Chain) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%w: %w", ErrBadChain, err)
	}
	if len(text) > base64.RawStdEncoding.EncodedLen(maxChainLength*fingerprintSize) {
		return fmt.Errorf("%w: encoding exceeds the maximum chain length", ErrBadChain)
	}
	raw, err := base64.RawStdEncoding.Strict().DecodeString(text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadChain, err)
	}
	if len(raw)%fingerprintSize != 0 {
		return fmt.Errorf("%w: %d bytes is not a whole number of fingerprints", ErrBadChain, len(raw))
	}
	chain := make(Chain, len(raw)/fingerprintSize)
	for i := range chain {
		copy(chain[i][:], raw[i*fingerprintSize:])
	}
	*c = chain
	return nil
}

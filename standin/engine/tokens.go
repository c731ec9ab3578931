package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
	"math"
	"math/rand/v2"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// tokenBytes is the size of a token: 4 bytes of text are one token, and a token id is the
// little-endian value of these bytes. So a next turn that repeats prompt and output as text has the
// same blocks.
const tokenBytes = 4

var errTokenID = errors.New("token ids must be between 0 and 4294967295")

// words is the output vocabulary. Each word, with the preceding space, is one token.
var words = [...]string{
	" ore", " pig", " arc", " cup", " mix", " tap", " rod", " bar",
	" lot", " ton", " hot", " dry", " red", " old", " new", " low",
	" and", " the", " for", " not", " one", " two", " six", " ten",
	" ice", " van", " log", " day", " bay", " key", " tag", " box",
}

// blockID is the truncated chained hash of a block.
type blockID [16]byte

func (b blockID) String() string { return hex.EncodeToString(b[:]) }

func promptBytes(req *enginewire.RunRequest) ([]byte, error) {
	if len(req.PromptIDs) == 0 {
		return []byte(req.Prompt), nil
	}
	out := make([]byte, 0, len(req.PromptIDs)*tokenBytes)
	for _, id := range req.PromptIDs {
		if id < 0 || id > math.MaxUint32 {
			return nil, errTokenID
		}
		out = binary.LittleEndian.AppendUint32(out, uint32(id))
	}
	return out, nil
}

func countTokens(bytes int) int { return (bytes + tokenBytes - 1) / tokenBytes }

// outputHash returns the value that, with the seed, determines the output of a prompt.
func outputHash(prompt []byte) uint64 {
	sum := sha256.Sum256(prompt)
	return binary.LittleEndian.Uint64(sum[:])
}

// word returns output token i, a pure function of prompt, seed and position.
func word(hash uint64, seed int64, i int) string {
	var pcg rand.PCG
	pcg.Seed(hash^uint64(i), uint64(seed))
	return words[pcg.Uint64()%uint64(len(words))]
}

// chain computes the ids of the complete blocks of a growing token sequence.
type chain struct {
	hash       hash.Hash
	blockBytes int
	filled     int // bytes in the incomplete block
	ids        []blockID
}

func newChain(req *enginewire.RunRequest, blockTokens int) *chain {
	c := &chain{hash: sha256.New(), blockBytes: blockTokens * tokenBytes}
	for _, part := range []string{req.CacheSalt, req.Model, req.Version, req.Adapter} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		c.hash.Write(size[:])
		c.hash.Write([]byte(part))
	}
	root := c.hash.Sum(nil)
	c.hash.Reset()
	c.hash.Write(root)
	return c
}

func (c *chain) write(p []byte) {
	for len(p) > 0 {
		n := min(len(p), c.blockBytes-c.filled)
		c.hash.Write(p[:n])
		c.filled += n
		p = p[n:]
		if c.filled == c.blockBytes {
			c.closeBlock()
		}
	}
}

func (c *chain) closeBlock() {
	sum := c.hash.Sum(nil)
	c.ids = append(c.ids, blockID(sum[:16]))
	c.hash.Reset()
	c.hash.Write(sum)
	c.filled = 0
}

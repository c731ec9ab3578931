package policybench

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
)

// conversation is a context that grows with each turn.
type conversation struct {
	id      int
	account int
	blocks  []kvcache.Block // blocks of the full context
	chain   kvcache.Chain   // a fingerprint for each block
	latest  *turn           // last turn that has arrived
}

// turn is one prompt of a conversation.
type turn struct {
	at             time.Duration
	conv           *conversation
	number         int
	gap            time.Duration // since the turn before; 0 for the first
	prompt, output int           // tokens
	fresh          int           // prompt tokens that no engine has seen
	freshBlocks    int           // the same if only whole blocks are cached
	answers        int           // number of answers from the system under test
	returns        bool          // a later turn follows after a gap of more than ExportUntil
}

func (t *turn) chain() kvcache.Chain { return t.conv.chain[:t.prompt/blockTokens] }

// promptBlocks returns the complete blocks of the prompt.
func (t *turn) promptBlocks() []kvcache.Block { return t.conv.blocks[:t.prompt/blockTokens] }

// contextBlocks returns the complete blocks of prompt and answer.
func (t *turn) contextBlocks() []kvcache.Block {
	return t.conv.blocks[:(t.prompt+t.output)/blockTokens]
}

// workload draws all turns up to end, ordered by arrival.
func workload(p *Profile, end time.Duration, seed uint64) []*turn {
	rng := rand.New(rand.NewPCG(seed, 1))
	var turns []*turn
	seenPreamble := [accountCount]bool{}
	for at := 0.0; at < end.Seconds(); at += rng.ExpFloat64() / p.Conversations {
		acct := drawAccount(p, rng)
		conv := &conversation{id: len(turns), account: acct}
		turns = append(turns, conv.drawTurns(&p.Accounts[acct], rng, seconds(at), end, !seenPreamble[acct])...)
		seenPreamble[acct] = true
	}
	slices.SortStableFunc(turns, func(a, b *turn) int { return cmp.Compare(a.at, b.at) })
	return turns
}

func drawAccount(p *Profile, rng *rand.Rand) int {
	x := rng.Float64()
	for i, a := range p.Accounts {
		if x -= a.share; x < 0 {
			return i
		}
	}
	return accountCount - 1
}

// drawTurns draws all turns of a conversation. Gaps are measured from arrival to arrival, so that the
// arrivals are the same under every policy.
func (c *conversation) drawTurns(a *account, rng *rand.Rand, at, end time.Duration, first bool) []*turn {
	var turns []*turn
	seen := a.preamble
	if first {
		seen = 0
	}
	prompt := a.preamble + logNormal(rng, a.firstTokens, contextSigma, minFirstPrompt, maxFirstPrompt)
	gap := time.Duration(0)
	for at < end {
		t := &turn{at: at, conv: c, number: len(turns), gap: gap, prompt: prompt}
		t.output = minOutput + rng.IntN(maxOutput-minOutput)
		t.fresh = prompt - seen
		t.freshBlocks = prompt - seen/blockTokens*blockTokens
		turns = append(turns, t)
		seen = prompt + t.output
		prompt = seen + logNormal(rng, a.turnTokens, contextSigma, minTurnGrowth, maxTurnGrowth)
		if rng.Float64() > a.returns || prompt > maxContext {
			break
		}
		gap = drawGap(a, rng)
		at += gap
	}
	for i := len(turns) - 1; i > 0; i-- {
		turns[i-1].returns = turns[i].returns || turns[i].gap > placement.ExportUntil
	}
	c.buildBlocks(seen/blockTokens, a.preamble/blockTokens)
	return turns
}

// buildBlocks creates n blocks. The first shared ones lie within the preamble and are common to all
// conversations of the account.
func (c *conversation) buildBlocks(n, shared int) {
	const accountBit = 1 << 40
	for i := range n {
		owner := uint64(c.id)
		if i < shared {
			owner = accountBit + uint64(c.account)
		}
		var f kvcache.Fingerprint
		binary.BigEndian.PutUint64(f[:8], owner)
		binary.BigEndian.PutUint64(f[8:], uint64(i))
		c.chain = append(c.chain, f)
		c.blocks = append(c.blocks, kvcache.Block{ID: string(f[:]), EndToken: (i + 1) * blockTokens, Bytes: blockBytes})
	}
}

func drawGap(a *account, rng *rand.Rand) time.Duration {
	median, sigma := longGapMedian, longGapSigma
	if rng.Float64() < a.shortGaps {
		median, sigma = shortGapMedian, shortGapSigma
	}
	return max(minGap, seconds(median*math.Exp(sigma*rng.NormFloat64())))
}

func logNormal(rng *rand.Rand, median, sigma float64, minimum, maximum int) int {
	x := int(median * math.Exp(sigma*rng.NormFloat64()))
	return min(max(x, minimum), maximum)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

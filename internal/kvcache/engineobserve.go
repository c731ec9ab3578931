package kvcache

import (
	"math"
	"sort"
)

// Run is an engine's report on a finished run. If the next turn of the conversation
// repeats prompt and output verbatim, Chain, PromptSize and PromptTokens may cover
// both.
type Run struct {
	Incarnation  string
	Chain        Chain
	Unit         Unit
	PromptSize   int     // in Unit
	PromptTokens int     // counted by the engine
	Blocks       []Block // complete blocks of prompt and output, in order
}

// tokenPoint is a prefix with a known number of tokens. Depth is its length in
// chunks and may be fractional.
type tokenPoint struct {
	depth  float64
	tokens float64
}

// Observe records which blocks belong to the prefixes of a finished run's prompt.
// Engines count tokens while the chain counts chunks. Observe therefore assigns a
// block to the first complete chunk at or after the block's end, interpolating
// between the ends of this conversation's earlier prompts. Blocks that end after
// the last complete chunk are recorded by the conversation's next turn.
func (x *EngineIndex) Observe(run Run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.checkIncarnation(run.Incarnation) || run.PromptTokens <= 0 || run.PromptSize <= 0 {
		return
	}
	points := x.tokenPoints(run)
	placed := x.placedBlocks(run.Chain)
	for i := len(run.Blocks) - 1; i >= 0; i-- {
		block := run.Blocks[i]
		if at, ok := placed[block.ID]; ok {
			x.put(at, i, block)
			continue
		}
		x.place(run.Chain, depthOf(points, block.EndToken), i, block)
	}
	x.recordEnd(run, points)
}

// place records a block at the given depth in chunks. It moves the block one chunk
// deeper if a conversation with the same prefix at that depth has another block
// with this index.
func (x *EngineIndex) place(chain Chain, depth, index int, block Block) {
	if depth > len(chain) {
		return
	}
	at := chain[depth-1]
	if !x.put(at, index, block) || depth == len(chain) {
		return
	}
	x.remove(at, block.ID)
	x.put(chain[depth], index, block)
}

func (x *EngineIndex) remove(at Fingerprint, id string) {
	c, ok := x.entries.Peek(at)
	if !ok {
		return
	}
	for i, state := range c.blocks {
		if state.block.ID == id {
			c.blocks = append(c.blocks[:i], c.blocks[i+1:]...)
			x.release(state)
			return
		}
	}
}

// ObserveStart corrects the estimate by the number of cached tokens that the engine
// reported at the start of a run: blocks of the chain that end after cachedTokens
// are not cached.
func (x *EngineIndex) ObserveStart(incarnation string, chain Chain, cachedTokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.checkIncarnation(incarnation) {
		return
	}
	x.walkCached(chain, func(_ Fingerprint, state *blockState) {
		if state.block.EndToken > cachedTokens {
			state.cached = false
		}
	})
}

// ObserveImport records blocks that the engine reported as imported.
func (x *EngineIndex) ObserveImport(incarnation string, placements []Placement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.checkIncarnation(incarnation) {
		return
	}
	for i := len(placements) - 1; i >= 0; i-- {
		p := placements[i]
		x.put(p.At, p.Index, p.Block)
	}
}

// tokenPoints returns the prefixes of the run's prompt whose token count is known,
// from the empty prefix to the full prompt.
func (x *EngineIndex) tokenPoints(run Run) []tokenPoint {
	end := tokenPoint{
		depth:  float64(run.PromptSize) / float64(run.Unit.ChunkSize()),
		tokens: float64(run.PromptTokens),
	}
	points := []tokenPoint{{}}
	for i, at := range run.Chain {
		c, ok := x.entries.Peek(at)
		if !ok {
			continue
		}
		tokens := float64(c.tokens)
		if tokens > points[len(points)-1].tokens && tokens < end.tokens {
			points = append(points, tokenPoint{depth: float64(i + 1), tokens: tokens})
		}
	}
	return append(points, end)
}

// recordEnd stores the number of tokens up to the end of the prompt's last complete
// chunk.
func (x *EngineIndex) recordEnd(run Run, points []tokenPoint) {
	if len(run.Chain) == 0 {
		return
	}
	at := run.Chain[len(run.Chain)-1]
	c, ok := x.entries.Get(at)
	if !ok {
		c = &chunkEntry{}
		x.entries.Add(at, c)
	}
	c.tokens = tokensAt(points, float64(len(run.Chain)))
}

// placedBlocks returns the fingerprints at which the chain's blocks are recorded,
// by block id.
func (x *EngineIndex) placedBlocks(chain Chain) map[string]Fingerprint {
	placed := make(map[string]Fingerprint)
	for _, at := range chain {
		c, ok := x.entries.Peek(at)
		if !ok {
			continue
		}
		for _, state := range c.blocks {
			placed[state.block.ID] = at
		}
	}
	return placed
}

// depthOf returns the number of complete chunks that cover the given number of
// tokens, at least 1. It returns math.MaxInt if the last point has fewer tokens.
func depthOf(points []tokenPoint, tokens int) int {
	target := float64(tokens)
	i := sort.Search(len(points), func(i int) bool { return points[i].tokens >= target })
	if i == len(points) {
		return math.MaxInt
	}
	if i == 0 {
		return 1
	}
	from, to := points[i-1], points[i]
	depth := from.depth + (target-from.tokens)/(to.tokens-from.tokens)*(to.depth-from.depth)
	return max(1, int(math.Ceil(depth-depthTolerance)))
}

// depthTolerance prevents rounding errors from moving a block one chunk deeper.
const depthTolerance = 1e-9

func tokensAt(points []tokenPoint, depth float64) int {
	last := len(points) - 1
	i := sort.Search(last, func(i int) bool { return points[i].depth >= depth })
	if i == 0 {
		return 0
	}
	from, to := points[i-1], points[i]
	if to.depth <= from.depth {
		return int(from.tokens)
	}
	return int(from.tokens + (depth-from.depth)/(to.depth-from.depth)*(to.tokens-from.tokens))
}

package policybench

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Ideal returns lower bounds on the time to first token. They assume no queueing, a new engine, and
// prefill only of tokens that were never part of a whole block before. For all other tokens:
//
//   - in memory: they are in the engine's memory. No policy can do better.
//   - pooled memory: they are in memory if a single LRU cache of the size of all engines' memories
//     would hold them. Others are imported over an idle link or recomputed, whichever is faster.
//   - pooled memory, head computed while importing: as before, but with the best split between
//     recomputing and importing at the same time.
func Ideal(p Profile, seed uint64, h Horizon) []Result {
	pool, err := simplelru.NewLRU[string, struct{}](engineBlocks*(oldEngines+newEngines), nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	names := [...]string{"in memory", "pooled memory", "pooled memory, head computed while importing"}
	var sums [len(names)]tally
	for _, t := range workload(&p, h.End, seed) {
		missing := len(t.promptBlocks()) - prefixLength(t.promptBlocks(), pool.Contains)
		missing = max(0, missing-t.freshBlocks/blockTokens)
		for _, b := range slices.Backward(t.contextBlocks()) {
			pool.Add(b.ID, struct{}{})
		}
		if t.at < h.Warmup {
			continue
		}
		minTime := 2*hop + seconds(float64(t.freshBlocks)/newRate)
		for i, fetch := range [...]time.Duration{0, fetchTime(&p, missing), splitFetchTime(&p, missing)} {
			sums[i].ttft = append(sums[i].ttft, minTime+fetch)
			sums[i].prompt += t.prompt
			sums[i].computed += t.freshBlocks
			sums[i].fresh += t.fresh
			sums[i].freshBlocks += t.freshBlocks
		}
	}
	var out []Result
	for i, name := range names {
		out = append(out, Result{Case: p.Name + " / bound: " + name + " / none", All: sums[i].figures()})
	}
	return out
}

const blockCompute = blockTokens / newRate // seconds

func blockImport(p *Profile) float64 { return blockBytes / p.LinkBytes }

// fetchTime returns the shorter of the times to import and to compute blocks.
func fetchTime(p *Profile, blocks int) time.Duration {
	return seconds(float64(blocks) * min(blockImport(p), blockCompute))
}

// splitFetchTime returns the shortest time to compute some of the blocks while the others are
// imported.
func splitFetchTime(p *Profile, blocks int) time.Duration {
	best := fetchTime(p, blocks)
	for k := range blocks + 1 {
		best = min(best, seconds(max(float64(k)*blockCompute, float64(blocks-k)*blockImport(p))))
	}
	return best
}

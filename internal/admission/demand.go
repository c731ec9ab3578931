package admission

import (
	"slices"
	"sync"
)

const (
	// ranks is the number of priority ranks.
	ranks = 10
	// sizeSamples is the number of recent prompts of a rank whose sizes are kept: those of several
	// seconds at one node.
	sizeSamples = 40
	// typicalPercentile is the percentile of the prompt sizes that is reserved while few prompts
	// are refused. A higher one leaves engines partly empty.
	typicalPercentile = 75
	// pressurePercentile is the percentile that is reserved while many prompts are refused: then
	// most of the largest tenth require the same room as all others, and are refused no more often.
	pressurePercentile = 95
	// pressureThreshold is the recent share of refusals from which many prompts count as refused.
	pressureThreshold = 0.2
	// roomyPrompts is the number of typical prompts of a rank that fit into a memory from which
	// nothing is reserved: the memory that small prompts leave free then soon suffices for a large
	// one, and a reserve would refuse callers that the engine could serve.
	roomyPrompts = 10
	// manyPrompts is the number of prompts of mean size from which an engine's memory holds many:
	// estimation errors of single prompts then amount to less than a fifth of it.
	manyPrompts = 30
	// sizeWeight is the weight of the newest prompt in the mean size, which covers about a hundred
	// prompts.
	sizeWeight = 0.01
	// pressureWeight is the weight of the newest decision in the share of refusals, which covers
	// about fifty decisions.
	pressureWeight = 0.02
)

// Demand tracks the recent prompt sizes of each rank and the recent share of refusals. It is safe
// for concurrent use.
type Demand struct {
	mu       sync.Mutex
	byRank   [ranks]recentSizes
	pressure float64 // share of prompts refused, weighted towards recent ones
	mean     float64 // prompt size in tokens, weighted towards recent ones
}

// recentSizes holds the sizes of the newest prompts of a rank, in tokens.
type recentSizes struct {
	sizes          [sizeSamples]int
	n              int // prompts noted in total
	typical, large int // typicalPercentile and pressurePercentile of sizes
}

// Note records the size of a prompt, in tokens.
func (d *Demand) Note(rank, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byRank[clamp(rank)].add(tokens)
	if d.mean == 0 {
		d.mean = float64(tokens)
	}
	d.mean += sizeWeight * (float64(tokens) - d.mean)
}

// NoteDecision records whether a prompt was refused for lack of memory or time.
func (d *Demand) NoteDecision(refused bool) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pressure += pressureWeight * (outcome - d.pressure)
}

// Reserve returns the free memory, in tokens, that a prompt of this rank requires at an engine with
// the given memory: the size of a typical prompt of its rank, or of a large one while many are
// refused. Prompts of other ranks don't count, as their priority already reserves room for them.
// While few prompts are refused, it returns 0 for a caller that was refused before, as it does not
// return a second time, and for memory that holds many prompts.
func (d *Demand) Reserve(rank int, returned bool, memory int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.byRank[clamp(rank)]
	switch {
	case d.pressure >= pressureThreshold:
		return r.large
	case returned, r.isRoomy(memory):
		return 0
	}
	return r.typical
}

// HoldsMany reports whether an engine's memory, in tokens, holds many prompts of the mean size of
// all ranks. The estimated memory use is then accurate, as errors of single prompts matter little.
func (d *Demand) HoldsMany(memory int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return manyPrompts*d.mean <= float64(memory)
}

func (r *recentSizes) isRoomy(memory int) bool { return roomyPrompts*r.typical <= memory }

func clamp(rank int) int { return min(max(rank, 0), ranks-1) }

func (r *recentSizes) add(tokens int) {
	const percent = 100
	r.sizes[r.n%sizeSamples] = tokens
	r.n++
	var buf [sizeSamples]int
	sorted := buf[:copy(buf[:], r.sizes[:min(r.n, sizeSamples)])]
	slices.Sort(sorted)
	r.typical = sorted[len(sorted)*typicalPercentile/percent]
	r.large = sorted[len(sorted)*pressurePercentile/percent]
}

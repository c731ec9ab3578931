package admission

import (
	"slices"
	"sync"
)

const (
	// priorities is the number of engine priorities; 0 is the most urgent.
	priorities = 10
	// sizeSamples is the number of recent prompts of a priority whose sizes are kept: those of
	// several seconds at one node.
	sizeSamples = 40
	// typicalPercentile is the percentile of the prompt sizes that is reserved while few prompts
	// are refused. A higher one leaves engines partly empty.
	typicalPercentile = 75
	// pressurePercentile is the percentile that is reserved while many prompts are refused: most
	// large prompts then compete for the same free memory as small ones, and are refused no more
	// often.
	pressurePercentile = 95
	// pressureThreshold is the recent share of refusals from which many prompts count as refused.
	pressureThreshold = 0.2
	// If at least minPromptsWithoutReserve typical prompts of a priority fit into an engine's
	// memory, nothing is reserved: the memory that ending runs free then soon suffices for a large
	// prompt, and a reserve would refuse callers that the engine could serve.
	minPromptsWithoutReserve = 10
	// manyPrompts is the minimum number of prompts of mean size that fit into a memory which holds
	// many: estimation errors of single prompts then amount to less than a fifth of the memory.
	manyPrompts = 30
	// sizeWeight is the weight of the newest prompt in the mean size, which covers about a hundred
	// prompts.
	sizeWeight = 0.01
	// pressureWeight is the weight of the newest decision in the share of refusals, which covers
	// about fifty decisions.
	pressureWeight = 0.02
)

// Demand tracks the recent prompt sizes and arrivals of each priority, and the recent share of
// refusals. It is safe for concurrent use.
type Demand struct {
	mu         sync.Mutex
	byPriority [priorities]recentSizes
	arrivals   [priorities]arrivals // by route priority
	pressure   float64              // share of prompts refused, weighted towards recent ones
	mean       float64              // prompt size in tokens, weighted towards recent ones
}

// recentSizes holds the sizes of the newest prompts of a priority, in tokens.
type recentSizes struct {
	sizes          [sizeSamples]int
	n              int // prompts recorded in total
	typical, large int // typicalPercentile and pressurePercentile of sizes
}

// RecordSize records the size of a prompt, in tokens.
func (d *Demand) RecordSize(priority, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byPriority[clamp(priority)].add(tokens)
	if d.mean == 0 {
		d.mean = float64(tokens)
	}
	d.mean += sizeWeight * (float64(tokens) - d.mean)
}

// RecordDecision records whether a prompt was refused for lack of memory or time.
func (d *Demand) RecordDecision(refused bool) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pressure += pressureWeight * (outcome - d.pressure)
}

// Reserve returns the free memory, in tokens, that a prompt of this priority requires at an engine
// with the given memory: the size of a typical prompt of its priority, or of a large one while many
// are refused. Prompts of other priorities don't count, as their priority already reserves room for
// them. While few prompts are refused, it returns 0 for a caller that was refused before, as
// callers retry only once, and for memory into which many typical prompts fit.
func (d *Demand) Reserve(priority int, isRetry bool, memory int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.byPriority[clamp(priority)]
	switch {
	case d.pressure >= pressureThreshold:
		return r.large
	case isRetry, r.fitsMany(memory):
		return 0
	}
	return r.typical
}

// HoldsMany reports whether an engine's memory, in tokens, holds many prompts of the mean size of
// all priorities. The estimated memory use is then accurate, as errors of single prompts matter
// little.
func (d *Demand) HoldsMany(memory int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return manyPrompts*d.mean <= float64(memory)
}

func (r *recentSizes) fitsMany(memory int) bool { return minPromptsWithoutReserve*r.typical <= memory }

func clamp(priority int) int { return min(max(priority, 0), priorities-1) }

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

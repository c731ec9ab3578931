package admission

import (
	"slices"
	"sync"
)

const (
	// ranks is the number of ranks of urgency.
	ranks = 10
	// needSamples is how many prompts of a rank are looked back on: some seconds of one
	// node's.
	needSamples = 40
	// usualPercent is the percentile of the sizes up to which prompts ask for the same room
	// while few are refused. A higher one leaves engines partly empty.
	usualPercent = 75
	// pressedPercent is the same while many are refused: then most of the largest tenth ask
	// for the same room as all others, and are refused no more often.
	pressedPercent = 95
	// pressedShare is the share of refusals, lately, from which many are refused.
	pressedShare = 0.2
	// roomyMemory is the number of usual prompts of a rank from which an engine's memory is roomy:
	// what small ones leave free then is soon enough for a large one, and asking for more room than
	// they need has callers refused whom the engine could take.
	roomyMemory = 10
	// manyPrompts is the number of prompts of mean size from which an engine's memory holds many: errors
	// on single ones come to less than a fifth of it.
	manyPrompts = 30
	// sizeWeight is the weight of the newest prompt in the mean size: some hundred are remembered.
	sizeWeight = 0.01
	// pressureWeight is the weight of the newest decision: some fifty are remembered.
	pressureWeight = 0.02
)

// Needs knows how large prompts are lately, by rank, and how many are refused. It is safe for
// concurrent use.
type Needs struct {
	mu       sync.Mutex
	byRank   [ranks]recent
	pressure float64 // share of prompts refused, recent ones weighted most
	mean     float64 // size of prompts, in tokens, recent ones weighted most
}

// recent are the sizes of the newest prompts of a rank, in tokens.
type recent struct {
	sizes          [needSamples]int
	n              int // prompts ever noted
	usual, pressed int // the two percentiles
}

// Note takes the size of a prompt, in tokens.
func (n *Needs) Note(rank, tokens int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byRank[clamp(rank)].add(tokens)
	if n.mean == 0 {
		n.mean = float64(tokens)
	}
	n.mean += sizeWeight * (float64(tokens) - n.mean)
}

// Decided takes whether a prompt was refused for want of room or time.
func (n *Needs) Decided(refused bool) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pressure += pressureWeight * (outcome - n.pressure)
}

// Reserve returns the room that a prompt of this rank asks for at least, in tokens, at an engine of such
// a memory: that of a usual one of its rank, or of a large one while many are refused. Prompts of other
// ranks count for nothing, as room is kept for them by their urgency. A caller that was refused
// before asks for its own size alone while few are refused, as it doesn't come back again; and so
// does everybody where the memory holds many.
func (n *Needs) Reserve(rank int, returned bool, memory int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &n.byRank[clamp(rank)]
	switch {
	case n.pressure >= pressedShare:
		return r.pressed
	case returned, r.roomy(memory):
		return 0
	}
	return r.usual
}

// Many reports whether an engine's memory, in tokens, holds many prompts as they come, of all ranks. What
// it holds is then near what is believed, as single prompts count for little.
func (n *Needs) Many(memory int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return manyPrompts*n.mean <= float64(memory)
}

func (r *recent) roomy(memory int) bool { return roomyMemory*r.usual <= memory }

func clamp(rank int) int { return min(max(rank, 0), ranks-1) }

func (r *recent) add(tokens int) {
	const percent = 100
	r.sizes[r.n%needSamples] = tokens
	r.n++
	var buf [needSamples]int
	sorted := buf[:copy(buf[:], r.sizes[:min(r.n, needSamples)])]
	slices.Sort(sorted)
	r.usual = sorted[len(sorted)*usualPercent/percent]
	r.pressed = sorted[len(sorted)*pressedPercent/percent]
}

// Package admission decides whether an engine accepts one more prompt, based on the memory that its
// runs occupy, and when a refused caller may retry.
//
// It handles loads that would fill the engines' memory. An engine whose memory is full preempts the
// newest of its lowest-priority runs whenever another run grows by a block. The prompt of the
// preempted run must then be read again, which delays all other runs. A completely full engine
// therefore makes little progress. All functions are pure or take the time as an argument.
package admission

import "time"

const (
	// usableShare is the share of an engine's memory that runs may hold. A value below 1 would
	// leave a margin for answers that exceed their estimate, and for prompts that two nodes place
	// there between two load reports.
	usableShare = 1.0
	// ReserveShare bounds the free memory that a small prompt requires, as a share of the memory.
	// Without it, an engine that holds few prompts would stay half empty.
	ReserveShare = 0.6
)

// Memory is the estimated memory use of one engine, in tokens.
type Memory struct {
	Capacity       int // 0 if unknown
	OccupiedTokens int // by runs in flight or in transit to the engine
}

// usable returns the number of tokens that runs may hold.
func (m Memory) usable() float64 { return usableShare * float64(m.Capacity) }

// deficit returns how many tokens must be freed before a prompt fits; 0 or less if it fits now.
// reserve is the size of a typical prompt, or of a large one while many prompts are refused. A
// smaller prompt requires that much free memory, so that small prompts don't fill the memory that
// large ones wait for.
func (m Memory) deficit(need, reserve int) float64 {
	required := min(float64(reserve), ReserveShare*float64(m.Capacity))
	return float64(m.OccupiedTokens) + max(float64(need), required) - m.usable()
}

// Fits reports whether the engine has room for a prompt. A prompt larger than the memory is
// accepted by an idle engine.
func (m Memory) Fits(need, reserve int) bool {
	return m.Capacity <= 0 || m.OccupiedTokens <= 0 || m.deficit(need, reserve) <= 0
}

// Wait predicts the time until a prompt fits. It assumes that the present runs end evenly spread
// over the duration run, and free the memory they hold.
func (m Memory) Wait(need, reserve int, run time.Duration) time.Duration {
	if m.Fits(need, reserve) {
		return 0
	}
	share := m.deficit(need, reserve) / float64(m.OccupiedTokens)
	return time.Duration(min(share, 1) * float64(run))
}

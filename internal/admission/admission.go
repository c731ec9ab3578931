// Package admission decides whether an engine takes one more prompt, from what its memory
// holds, and when a caller that is refused may come back.
//
// It answers loads under which engines' memory would fill. An engine whose memory is full
// puts back the newest of its least urgent runs whenever another one grows by a block; that
// run's prompt is then read once more, which delays all others, so that an engine filled to
// the brim does little else. All functions are pure or take the time as an argument.
package admission

import "time"

const (
	// roomyShare is the part of an engine's memory that runs may hold. The rest is what
	// their answers grow by beyond the estimates, and what two nodes place there between
	// two messages.
	roomyShare = 1.0
	// ReserveShare bounds the room that a small prompt asks for, as a part of the memory: an
	// engine that holds few prompts would else stay half empty.
	ReserveShare = 0.6
)

// Memory is what is believed of one engine's memory, in tokens.
type Memory struct {
	Capacity int // 0 where it is not known
	Held     int // by runs under way or on their way there
}

// room returns the tokens that runs may hold.
func (m Memory) room() float64 { return roomyShare * float64(m.Capacity) }

// lacking returns how many tokens have to be freed before a prompt fits, 0 or less where it
// fits now. reserve is the size of a usual prompt: a smaller one asks for as much room, so
// that small ones don't fill what large ones wait for.
func (m Memory) lacking(need, reserve int) float64 {
	kept := min(float64(reserve), ReserveShare*float64(m.Capacity))
	return float64(m.Held) + max(float64(need), kept) - m.room()
}

// Fits reports whether the engine has room for a prompt. One that never fits goes to an
// engine that runs nothing.
func (m Memory) Fits(need, reserve int) bool {
	return m.Capacity <= 0 || m.Held <= 0 || m.lacking(need, reserve) <= 0
}

// Wait predicts how long it takes until a prompt fits: runs that take so long each end evenly
// spread over that time, and free what they hold.
func (m Memory) Wait(need, reserve int, run time.Duration) time.Duration {
	if m.Fits(need, reserve) {
		return 0
	}
	share := m.lacking(need, reserve) / float64(m.Held)
	return time.Duration(min(share, 1) * float64(run))
}

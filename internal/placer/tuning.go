package placer

import "github.com/cherryward/cherryward/internal/admission"

// queueShare is the part of the objective that a prompt must have waited for others
// before it is refused as too late: one that is late by its own size is served.
const queueShare = 0.25

// Tuning holds the shares that decide on refusals, for trials in virtual time.
type Tuning struct {
	// QueueShare is the part of the objective that a prompt must wait for others before it is
	// refused as too late.
	QueueShare float64
	// ReserveShare bounds the room that a small prompt asks for, as a part of an engine's
	// memory; at most admission.ReserveShare.
	ReserveShare float64
}

var defaultTuning = DefaultTuning()

// DefaultTuning returns what nodes decide by.
func DefaultTuning() Tuning {
	return Tuning{QueueShare: queueShare, ReserveShare: admission.ReserveShare}
}

func (p *Placer) tuning() *Tuning {
	if p.Tuning == nil {
		return &defaultTuning
	}
	return p.Tuning
}

// reserve bounds the room, in tokens, that a prompt asks for at an engine of such a memory.
func (t *Tuning) reserve(tokens, memory int) int {
	if t.ReserveShare >= admission.ReserveShare {
		return tokens // admission bounds it
	}
	return min(tokens, int(t.ReserveShare*float64(memory)))
}

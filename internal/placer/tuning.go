package placer

import "github.com/cherryward/cherryward/internal/admission"

// queueShare is the default of Tuning.QueueShare. It also limits the wait for fetches; see
// fetchTimeout.
const queueShare = 0.25

// Tuning holds the thresholds for refusals, so that simulations can vary them.
type Tuning struct {
	// QueueShare is a share of the objective. A prompt is refused as too late only if its predicted
	// queueing time exceeds this share: a prompt that is late because of its own size is served.
	QueueShare float64
	// ReserveShare bounds the free memory that a small prompt requires, as a share of an engine's
	// memory; at most admission.ReserveShare.
	ReserveShare float64
}

var defaultTuning = DefaultTuning()

// DefaultTuning returns the thresholds used in production.
func DefaultTuning() Tuning {
	return Tuning{QueueShare: queueShare, ReserveShare: admission.ReserveShare}
}

func (p *Placer) tuning() *Tuning {
	if p.Tuning == nil {
		return &defaultTuning
	}
	return p.Tuning
}

// reserve returns the free memory, in tokens, that a prompt requires at an engine with the given
// memory: tokens, bounded by ReserveShare.
func (t *Tuning) reserve(tokens, memory int) int {
	if t.ReserveShare >= admission.ReserveShare {
		return tokens // already bounded by admission
	}
	return min(tokens, int(t.ReserveShare*float64(memory)))
}

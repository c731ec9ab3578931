package rollout

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// Event names in the log.
const (
	eventLoad        = "weights_load"
	eventUnload      = "weights_unload"
	eventLoadTooLong = "weights_load_too_long"
	eventStale       = "order_stale"
	eventRefused     = "order_refused"
	eventUncertain   = "order_uncertain"
	eventNoClaim     = "claim_unavailable"
	eventNoCapacity  = "rollout_waits_for_capacity"
	eventStage       = "rollout_stage"
	eventReverted    = "rollout_undone"
	eventNotReverted = "rollout_not_undone"
)

// Counters count the actions of this node since its start. They are safe for concurrent use.
type Counters struct {
	Loads     atomic.Int64 // load orders sent
	Unloads   atomic.Int64 // unload orders sent
	Undone    atomic.Int64 // rollouts reverted by a configuration change
	Uncertain atomic.Int64 // orders without an answer
}

func (c *Counters) countOrder(kind enginewire.OrderKind) {
	if kind == enginewire.OrderLoad {
		c.Loads.Add(1)
		return
	}
	c.Unloads.Add(1)
}

// event starts the log line of an action on one set of weights.
func (w *worker) event(name string, weights Weights) *zerolog.Event {
	e := w.log.Info().Str("event", name).Str("model", weights.Model).Str("version", weights.Version)
	if weights.Adapter != "" {
		e = e.Str("adapter", weights.Adapter)
	}
	return e
}

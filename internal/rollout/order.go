package rollout

import (
	"context"
	"errors"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
)

// pendingOrder is an order that may or may not have taken effect.
type pendingOrder struct {
	weights Weights
	load    bool
	until   time.Time
}

func (w *worker) unload(ctx context.Context, s snapshot, weights Weights) {
	w.event(eventUnload, weights).Send()
	w.order(ctx, s.endpoint, enginewire.OrderUnload, weights)
}

// order sends one order under the engine's claim.
func (w *worker) order(ctx context.Context, endpoint *pb.Endpoint, kind enginewire.OrderKind, weights Weights) {
	if err := w.endpoint.acquire(ctx); err != nil {
		w.logNoClaim(endpointPrefix+w.name, err)
		return
	}
	bounded, cancel, err := w.endpoint.claim.Order(ctx)
	if err != nil {
		return
	}
	defer cancel()
	if !endpoint.GetChecksFencing() {
		bounded, cancel = context.WithTimeout(bounded, uncheckedTimeout)
		defer cancel()
	}
	order := &enginewire.Order{
		Token:   w.endpoint.claim.Token(),
		Kind:    kind,
		Model:   weights.Model,
		Version: weights.Version,
		Adapter: weights.Adapter,
	}
	w.handleResult(w.engines.Order(bounded, endpoint.GetUrl(), order), kind, weights)
}

// handleResult records the result of an order.
func (w *worker) handleResult(err error, kind enginewire.OrderKind, weights Weights) {
	w.counters.countOrder(kind)
	code := engine.CodeOf(err)
	w.loading = w.loading || kind == enginewire.OrderLoad && code == ""
	switch {
	case err == nil:
		w.pendingOrder = pendingOrder{}
	case code == enginewire.ErrStaleToken:
		w.event(eventStale, weights).Send()
		w.endpoint.claim = nil // another node holds the claim now
	case code != "":
		w.event(eventRefused, weights).Err(err).Send()
	default:
		w.counters.Uncertain.Add(1)
		w.event(eventUncertain, weights).Err(err).Send()
		load := kind == enginewire.OrderLoad
		w.pendingOrder = pendingOrder{weights: weights, load: load, until: time.Now().Add(settleTime)}
	}
}

// orderPending reports whether an order has not taken effect, but still may. Otherwise it clears
// pendingOrder.
func (w *worker) orderPending(loaded []enginewire.Loaded) bool {
	if w.pendingOrder.until.IsZero() {
		return false
	}
	present := false
	for _, l := range loaded {
		present = present || weightsOf(l) == w.pendingOrder.weights
	}
	if present == w.pendingOrder.load || time.Now().After(w.pendingOrder.until) {
		w.pendingOrder = pendingOrder{}
		return false
	}
	return true
}

func (w *worker) logNoClaim(resource string, err error) {
	if !errors.Is(err, context.Canceled) {
		w.log.Info().Str("event", eventNoClaim).Str("resource", resource).Err(err).Send()
	}
}

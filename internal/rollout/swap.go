package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/config"
)

// maxParallelReads is the maximum number of engines read concurrently before a swap.
const maxParallelReads = 16

// takeOutRetryInterval is the time between two checks whether the engine can be taken out of service.
const takeOutRetryInterval = 2 * time.Second

// prepareReplace prepares an engine for unloading weights that serve, and returns true if they may be
// unloaded now. It acquires the load slot first, so that the engine is not out of service while it waits
// for one, then the model's claim, so that no other worker takes an engine of the model out of service
// at the same time, and then the engine's claim. If enough other engines are in service, it stops
// starting runs of the model on the engine.
func (w *worker) prepareReplace(ctx context.Context, s snapshot, model string) bool {
	if w.takeOutConfirmed && w.swapModel == model && w.model.valid() {
		return true // the swap has started with other weights of the model
	}
	w.takeOutConfirmed = false
	if !s.replies[model].Turn || time.Now().Before(w.notBefore) {
		return false
	}
	if err := w.slot.acquire(ctx); err != nil {
		w.logNoClaim(slotResource, err)
		return false
	}
	if w.swapModel != model {
		w.model.release(ctx, &w.releases)
	}
	w.swapModel = model
	if err := w.model.acquire(ctx); err != nil {
		w.logNoClaim(modelPrefix+model, err)
		return false
	}
	if err := w.endpoint.acquire(ctx); err != nil {
		w.logNoClaim(endpointPrefix+w.name, err)
		return false
	}
	if !w.checkTakeOut(ctx, s, model) {
		return false
	}
	w.drain(ctx, model)
	w.takeOutConfirmed = w.model.valid() && w.endpoint.valid() && w.slot.claim.Valid(slotMargin)
	return w.takeOutConfirmed
}

// checkTakeOut reads the state of the model's engines and reports whether this one can be taken out of
// service.
func (w *worker) checkTakeOut(ctx context.Context, s snapshot, name string) bool {
	view := w.configSource.View()
	model, ok := view.Model(name)
	target, known := Desired(view, s.endpoint).target(name)
	if !ok || !known || !w.configFresh() {
		return false
	}
	states := w.readEngines(ctx, view, name)
	if s.replies[name].Stage == Canary && anyHasTarget(target, states) {
		return false // another engine holds or loads the version, but the board has no report of that yet
	}
	ok = canTakeOut(model, target, states)
	if !ok {
		w.notBefore = time.Now().Add(takeOutRetryInterval)
		w.log.Info().Str("event", eventNoCapacity).Str("model", name).Send()
	}
	return ok
}

// readEngines reads the states of all engines of a model. The state is nil for an engine that does not
// answer or whose host is leaving.
func (w *worker) readEngines(ctx context.Context, view *config.View, model string) []*enginewire.State {
	endpoints := view.Engines(model)
	states := make([]*enginewire.State, len(endpoints))
	semaphore := make(chan struct{}, maxParallelReads)
	var wg sync.WaitGroup
	for i, e := range endpoints {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			if state, err := w.read(ctx, e); err == nil && !w.leaving(e) {
				states[i] = state
			}
		})
	}
	wg.Wait()
	return states
}

// drain stops starting runs of the model on this engine, and waits until runs granted before have reached
// the engine.
func (w *worker) drain(ctx context.Context, model string) {
	w.owner.Withhold(w.name, model)
	retry.Sleep(ctx, drainPause)
}

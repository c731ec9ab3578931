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

// spareRetryInterval is the time between two checks whether the engine can be taken out of service.
const spareRetryInterval = 2 * time.Second

// mayReplace reports whether the engine may give up weights that serve. It first acquires the load
// slot, so that the engine is not out of service while it waits for one, and then the model's claim,
// which ensures that no other worker takes an engine of the model out of service at the same time.
func (w *worker) mayReplace(ctx context.Context, r snapshot, model string) bool {
	if w.spareConfirmed && w.swapModel == model && w.model.held() {
		return true // the swap has started with other weights of the model
	}
	w.spareConfirmed = false
	if !r.standings[model].Turn || time.Now().Before(w.notBefore) {
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
	if !w.checkSpare(ctx, r, model) {
		return false
	}
	w.drain(ctx, model)
	w.spareConfirmed = w.model.held() && w.endpoint.held() && w.slot.claim.Valid(slotMargin)
	return w.spareConfirmed
}

// checkSpare reads the state of the model's engines and reports whether this one can be taken out of
// service.
func (w *worker) checkSpare(ctx context.Context, r snapshot, name string) bool {
	view := w.configSource.View()
	model, ok := view.Model(name)
	target, known := Desired(view, r.endpoint).target(name)
	if !ok || !known || !w.configFresh() {
		return false
	}
	states := w.readFleet(ctx, view, name)
	if r.standings[name].Stage == Canary && anyHasTarget(target, states) {
		return false // there is a canary that has not been reported to the board yet
	}
	ok = canSpare(model, target, states)
	if !ok {
		w.notBefore = time.Now().Add(spareRetryInterval)
		w.log.Info().Str("event", eventNoSpare).Str("model", name).Send()
	}
	return ok
}

// readFleet reads the states of all engines of a model. The state is nil for an engine that does not
// answer or whose host is leaving.
func (w *worker) readFleet(ctx context.Context, view *config.View, model string) []*enginewire.State {
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

// drain stops grants for the model on this engine, and waits until runs granted before have reached the
// engine.
func (w *worker) drain(ctx context.Context, model string) {
	w.owner.Withhold(w.name, model)
	retry.Sleep(ctx, drainPause)
}

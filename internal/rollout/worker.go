package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
)

const (
	// busyInterval is the time between two reads of an engine that is changing.
	busyInterval = 100 * time.Millisecond
	// waitInterval is the time between two reads of an engine that waits for its turn.
	waitInterval = 500 * time.Millisecond
	// idleInterval is the time between two reads of an engine in the desired state.
	idleInterval = 2 * time.Second
	readTimeout  = 2 * time.Second
	// finishTimeout limits the wait for a load when another node becomes the engine's owner.
	finishTimeout = 5 * time.Second
	// drainPause is the time allowed for runs to start that were granted before grants stopped.
	drainPause = 250 * time.Millisecond
)

// Engines reads the state of engines and sends them orders.
type Engines interface {
	State(ctx context.Context, base string) (*enginewire.State, error)
	Order(ctx context.Context, base string, order *enginewire.Order) error
}

var _ Engines = (*engine.Client)(nil)

// worker keeps one engine in the desired state. It is used by one goroutine.
type worker struct {
	*core
	name     string
	endpoint lazyClaim // for sending orders to the engine
	slot     lazyClaim // for loading
	model    lazyClaim // for taking the engine out of service
	// swapModel is the model for which the model claim is held.
	swapModel string
	// takeOutConfirmed is set once enough other engines were found to be in service under that claim.
	takeOutConfirmed bool
	// loading is set if a load may be in progress, according to the last read or order.
	loading bool
	// notBefore is the time of the next attempt after too few engines were in service.
	notBefore    time.Time
	pendingOrder pendingOrder
	lastReport   map[string]lastReport // by model name
	releases     sync.WaitGroup
	log          zerolog.Logger
}

func newWorker(c *core, name string) *worker {
	w := &worker{core: c, name: name, lastReport: make(map[string]lastReport), log: c.log.With().Str("endpoint", name).Logger()}
	w.endpoint.obtain = func(ctx context.Context) (*claim.Claim, error) {
		return c.claimer.Acquire(ctx, endpointPrefix+name, endpointTTL)
	}
	w.slot.obtain = func(ctx context.Context) (*claim.Claim, error) {
		return c.claimer.AcquireSlot(ctx, slotResource, MaxLoads, slotTTL)
	}
	w.model.obtain = func(ctx context.Context) (*claim.Claim, error) {
		return c.claimer.Acquire(ctx, modelPrefix+w.swapModel, modelTTL)
	}
	return w
}

// run reconciles the engine until ctx is done.
func (w *worker) run(ctx context.Context) {
	defer w.releases.Wait()
	defer w.releaseClaims(ctx)
	defer w.awaitLoad(ctx)
	for retry.Sleep(ctx, w.reconcile(ctx)) {
	}
}

// awaitLoad waits for a load that this worker started, so that its slot can be released for the
// engine's next owner.
func (w *worker) awaitLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	for w.loading && w.slot.claim != nil {
		if !retry.Sleep(ctx, busyInterval) {
			return
		}
		endpoint, _ := w.configSource.View().Endpoint(w.name)
		if state, err := w.read(ctx, endpoint); err == nil {
			w.loading = isLoading(state.Loaded)
		}
	}
}

// reconcile reads the engine once and takes at most one step. It returns the time until the next call.
func (w *worker) reconcile(ctx context.Context) time.Duration {
	if !w.configFresh() {
		return waitInterval
	}
	view := w.configSource.View()
	endpoint, ok := view.Endpoint(w.name)
	if !ok {
		return idleInterval
	}
	want := Desired(view, endpoint)
	want.Leaving = want.Leaving || w.leaving(endpoint)
	state, err := w.read(ctx, endpoint)
	if err != nil {
		w.reportAll(ctx, endpoint, want, nil)
		return waitInterval
	}
	w.loading = isLoading(state.Loaded)
	w.owner.Observe(w.name, state)
	replies := w.reportAll(ctx, endpoint, want, state)
	actions := Plan(want, state.Loaded)
	if len(actions) == 0 {
		w.releaseClaims(ctx)
		return idleWait(replies)
	}
	return w.takeStep(ctx, snapshot{endpoint: endpoint, state: state, replies: replies}, actions)
}

// idleWait returns the time until the next read of an engine in the desired state. It is short while a
// rollout of one of its models is in progress.
func idleWait(replies map[string]Standing) time.Duration {
	for _, s := range replies {
		if s.Stage != Settled {
			return waitInterval
		}
	}
	return idleInterval
}

// snapshot is the state read in one pass.
type snapshot struct {
	endpoint *pb.Endpoint
	state    *enginewire.State
	replies  map[string]Standing // by model name
}

func (w *worker) read(ctx context.Context, endpoint *pb.Endpoint) (*enginewire.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return w.engines.State(ctx, endpoint.GetUrl())
}

// takeStep performs the first action that is possible now, and returns the time until the next pass.
func (w *worker) takeStep(ctx context.Context, s snapshot, actions []Action) time.Duration {
	if w.orderPending(s.state.Loaded) {
		return busyInterval
	}
	if w.model.claim != nil && !swapPending(actions, w.swapModel) {
		w.takeOutConfirmed = false
		// The engine has the new version, so other workers may take theirs out of service.
		w.model.release(ctx, &w.releases)
		w.owner.Withhold(w.name, "")
	}
	for _, a := range actions {
		switch a.Step {
		case Unload:
			w.unload(ctx, s, a.Weights)
			return busyInterval
		case Await:
			return w.await(ctx, s, a.Weights)
		case Load:
			if isLoading(s.state.Loaded) || !w.mayLoad(s, a.Weights) {
				continue
			}
			w.load(ctx, s, a.Weights)
			return busyInterval
		case Replace:
			if isLoading(s.state.Loaded) || !w.prepareReplace(ctx, s, a.Weights.Model) {
				continue
			}
			w.unload(ctx, s, a.Weights)
			return busyInterval
		}
	}
	w.releaseClaims(ctx)
	return waitInterval
}

// swapPending reports whether an engine still has to unload or load weights of a model.
func swapPending(actions []Action, model string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool {
		swap := a.Step == Replace || a.Step == Load && a.Weights.Adapter == ""
		return swap && a.Weights.Model == model
	})
}

// await monitors a load, and cancels it before its slot expires. A load that another slot holder
// started is left to that holder.
func (w *worker) await(ctx context.Context, s snapshot, weights Weights) time.Duration {
	if w.slot.claim != nil && !w.slot.claim.Valid(slotMargin) {
		w.event(eventLoadTooLong, weights).Send()
		w.unload(ctx, s, weights)
		w.slot.claim = nil // left to expire
	}
	return busyInterval
}

// mayLoad reports whether the engine may load weights: it is its turn, or it has already unloaded
// others for them. Adapters may always be loaded.
func (w *worker) mayLoad(s snapshot, weights Weights) bool {
	return weights.Adapter != "" || w.swapModel == weights.Model && w.slot.valid() || s.replies[weights.Model].Turn
}

func (w *worker) load(ctx context.Context, s snapshot, weights Weights) {
	if err := w.slot.acquire(ctx); err != nil {
		w.logNoClaim(slotResource, err)
		return
	}
	if !w.slot.claim.Valid(slotMargin) {
		w.slot.release(ctx, &w.releases)
		return
	}
	w.event(eventLoad, weights).Int64("slot", w.slot.claim.Token()).Send()
	w.order(ctx, s.endpoint, enginewire.OrderLoad, weights)
}

// releaseClaims releases the claims, and lets the engine's owner grant runs again. While an order
// may still take effect, the claims are left to expire instead, so that the grace period protects the
// next holder. The slot of a load in progress is left to expire, too.
func (w *worker) releaseClaims(ctx context.Context) {
	uncertain := time.Now().Before(w.pendingOrder.until)
	if w.loading {
		w.slot.claim = nil
	}
	for _, l := range []*lazyClaim{&w.model, &w.slot, &w.endpoint} {
		if uncertain {
			l.claim = nil
			continue
		}
		l.release(ctx, &w.releases)
	}
	w.swapModel, w.takeOutConfirmed = "", false
	w.owner.Withhold(w.name, "")
}

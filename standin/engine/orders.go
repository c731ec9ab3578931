package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// The roles of an engine.
const (
	roleServing = "serving"
	roleLeaving = "leaving"
)

// loadedModel is a model, version and adapter that is loaded or being loaded.
type loadedModel struct {
	key       modelKey
	loading   bool
	cancelled chan struct{} // closed by an unload
}

func newLoadedModel(key modelKey, loading bool) *loadedModel {
	return &loadedModel{key: key, loading: loading, cancelled: make(chan struct{})}
}

func (in *incarnation) lookup(key modelKey) *loadedModel {
	at := slices.IndexFunc(in.loaded, func(l *loadedModel) bool { return l.key == key })
	if at < 0 {
		return nil
	}
	return in.loaded[at]
}

// serves reports whether the model is loaded, so that new runs are accepted.
func (in *incarnation) serves(key modelKey) bool {
	l := in.lookup(key)
	return l != nil && !l.loading
}

// serveOrder executes an order and responds with the resulting state. The response to a load is
// sent when loading starts; State reports when it is complete.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order enginewire.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&order); err != nil {
		writeError(w, notRun(enginewire.ErrBadRequest, err.Error()))
		return
	}
	e.mu.Lock()
	err := e.applyOrder(order)
	state := e.state()
	e.mu.Unlock()
	if e.Faults.Get().LoseOrderAnswers {
		fault.Drop()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	fault.WriteJSON(w, http.StatusOK, state)
}

// applyOrder executes an order. e.mu is held.
func (e *Engine) applyOrder(o enginewire.Order) *enginewire.Error {
	if e.cfg.CheckFencing && o.Token < e.highToken {
		return notRun(enginewire.ErrStaleToken, "a higher fencing token was received")
	}
	e.highToken = max(e.highToken, o.Token)
	key := modelKey{o.Model, o.Version, o.Adapter}
	switch {
	case o.Kind == enginewire.OrderLoad && o.Model != "" && o.Version != "":
		e.beginLoad(key)
	case o.Kind == enginewire.OrderUnload:
		e.unload(key)
	case o.Kind == enginewire.OrderRole && (o.Role == roleServing || o.Role == roleLeaving):
		e.role = o.Role
	default:
		return notRun(enginewire.ErrBadRequest, "unknown kind or role, or model and version are missing")
	}
	return nil
}

// beginLoad starts loading a model, unless it is loaded or loading.
func (e *Engine) beginLoad(key modelKey) {
	if e.lookup(key) != nil {
		return
	}
	l := newLoadedModel(key, e.cfg.Weights != nil)
	e.loaded = append(e.loaded, l)
	if l.loading {
		go e.finishLoad(l, e.terminated)
	}
}

func (e *Engine) finishLoad(l *loadedModel, terminated <-chan struct{}) {
	if !e.cfg.Weights.load(l.cancelled, terminated) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.loading = false
}

// unload stops accepting new runs of a model. Current runs continue, and the cached blocks are
// dropped when the last one ends.
func (e *Engine) unload(key modelKey) {
	l := e.lookup(key)
	if l == nil {
		return
	}
	close(l.cancelled)
	e.loaded = slices.DeleteFunc(e.loaded, func(other *loadedModel) bool { return other == l })
	e.dropUnloaded(key)
}

// dropUnloaded drops the cached blocks of a model that was unloaded, unless a run still uses it.
func (e *Engine) dropUnloaded(key modelKey) {
	if e.lookup(key) != nil {
		return
	}
	busy := func(r *run) bool { return r.from.key() == key && !r.is(phaseEnded) }
	if slices.ContainsFunc(e.batch, busy) {
		return
	}
	e.cache.drop(key)
}

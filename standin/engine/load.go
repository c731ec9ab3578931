package engine

import (
	"net/http"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// reportLoad publishes a load report every LoadLag until the engine is closed.
func (e *Engine) reportLoad() {
	ticker := time.NewTicker(e.cfg.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.publishLoad()
		case <-e.closed:
			return
		}
	}
}

func (e *Engine) publishLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = e.currentLoad()
	e.reported = time.Now()
}

func (e *Engine) currentLoad() enginewire.Load {
	out := enginewire.Load{
		Incarnation: e.name,
		Running:     len(e.batch),
		Waiting:     len(e.waiting),
		CacheUsed:   e.cache.used(),
	}
	for _, r := range e.waiting {
		out.WaitingTokens += r.promptTokens
	}
	for _, r := range e.batch {
		out.WaitingTokens += r.prefillLeft
	}
	return out
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.report
	load.AgeMS = time.Since(e.reported).Milliseconds()
	if e.cfg.LoadLag == 0 {
		load = e.currentLoad()
	}
	load.Role = e.role
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, load)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	state := e.state()
	e.mu.Unlock()
	if r.URL.Query().Get("blocks") == "false" {
		state.Blocks = nil
	}
	fault.WriteJSON(w, http.StatusOK, state)
}

// state returns a consistent snapshot: Blocks reflects exactly the events up to EventSeq. e.mu is
// held.
func (e *Engine) state() enginewire.State {
	out := enginewire.State{
		Incarnation: e.name,
		Role:        e.role,
		KVLayout:    e.cfg.KVLayout,
		BlockTokens: e.cfg.BlockTokens,
		BlockBytes:  e.cfg.blockBytes(),
		EventSeq:    e.events.seq,
		HighToken:   e.highToken,
		MaxRunning:  e.cfg.MaxRunning,
	}
	for _, l := range e.loaded {
		out.Loaded = append(out.Loaded, enginewire.Loaded{
			Model: l.key.model, Version: l.key.version, Adapter: l.key.adapter, Loading: l.loading,
		})
	}
	for id := range e.cache.entries {
		out.Blocks = append(out.Blocks, id.String())
	}
	return out
}

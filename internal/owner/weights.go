package owner

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/result"
)

// Tally counts the runs on one weight version of a model on one engine.
type Tally struct {
	Completed int
	Failed    int
	Since     time.Time // when the engine first reported the version as loaded
}

// weightsKey identifies a weight version of a model.
type weightsKey struct {
	model, version string
}

// Runs returns the counts of runs on a version since the engine first reported it as
// loaded.
func (s *Service) Runs(endpoint, model, version string) Tally {
	e, err := s.engine(endpoint)
	if err != nil {
		return Tally{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.runCounts[weightsKey{model, version}]; t != nil {
		return *t
	}
	return Tally{}
}

// Observe updates the loaded weights and the role from an engine state read by the
// caller.
func (s *Service) Observe(endpoint string, state *enginewire.State) {
	if e, err := s.engine(endpoint); err == nil {
		e.updateWeights(time.Now(), state)
	}
}

// Withhold suspends grants for a model on an engine and rejects the model's queued
// requests as not run. An empty model ends the suspension.
func (s *Service) Withhold(endpoint, model string) {
	if e, err := s.engine(endpoint); err == nil {
		e.suspendGrants(time.Now(), model)
	}
}

// updateWeights updates the loaded weights and the role from a state whose list of
// blocks may be out of date, and starts a new count for each newly loaded version.
func (e *engine) updateWeights(now time.Time, state *enginewire.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reported != nil {
		e.reported.Loaded = state.Loaded
		e.reported.Role = state.Role
	}
	runCounts := make(map[weightsKey]*Tally, len(state.Loaded))
	for _, l := range state.Loaded {
		if l.Loading || l.Adapter != "" {
			continue
		}
		key := weightsKey{l.Model, l.Version}
		runCounts[key] = e.runCounts[key]
		if runCounts[key] == nil {
			runCounts[key] = &Tally{Since: now}
		}
	}
	e.runCounts = runCounts
}

// countRun counts a finished run for its version. e.mu must be held.
func (e *engine) countRun(p *Prompt, outcome enginestate.Outcome) {
	t := e.runCounts[weightsKey{p.Model, p.Version}]
	if t == nil {
		return
	}
	switch outcome {
	case enginestate.Completed:
		t.Completed++
	case enginestate.Failed:
		t.Failed++
	}
}

func (e *engine) suspendGrants(now time.Time, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspendedModel = model
	if model == "" {
		return
	}
	for grant, p := range e.pending {
		if p.model == model && !p.decided {
			e.queue.Cancel(grant)
			e.finishRequest(grant, errNotLoaded())
		}
	}
	e.tickLocked(now)
}

// errNotLoaded returns the error for a run whose weights the engine has not loaded or
// whose model's grants are suspended. Another engine may serve the run.
func errNotLoaded() error {
	return result.New(result.EndpointRejected, result.WithRunState(result.NotRun))
}

// canServe reports whether the engine has loaded the prompt's weights and grants for
// their model are not suspended. Except for a suspended model, it returns true for an engine whose state has not been read yet, because the engine itself
// rejects runs that it cannot serve.
func (e *engine) canServe(p *Prompt) bool {
	if e.suspendedModel == p.Model && p.Model != "" {
		return false
	}
	if e.reported == nil {
		return true
	}
	return slices.ContainsFunc(e.reported.Loaded, func(l enginewire.Loaded) bool {
		return !l.Loading && l.Model == p.Model && l.Version == p.Version && (p.Adapter == "" || l.Adapter == p.Adapter)
	})
}

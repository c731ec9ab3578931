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
	if t := e.tallies[weightsKey{model, version}]; t != nil {
		return *t
	}
	return Tally{}
}

// Observe updates the loaded weights and the role from a state of the engine that the
// caller has read.
func (s *Service) Observe(endpoint string, state *enginewire.State) {
	if e, err := s.engine(endpoint); err == nil {
		e.updateWeights(time.Now(), state)
	}
}

// Withhold suspends grants for a model on an engine and rejects the model's queued
// requests as not run. An empty model ends the suspension.
func (s *Service) Withhold(endpoint, model string) {
	if e, err := s.engine(endpoint); err == nil {
		e.withhold(time.Now(), model)
	}
}

// updateWeights updates the loaded weights and the role from a state whose list of
// blocks may be out of date, and starts a new tally for each newly loaded version.
func (e *engine) updateWeights(now time.Time, state *enginewire.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reported != nil {
		e.reported.Loaded = state.Loaded
		e.reported.Role = state.Role
	}
	tallies := make(map[weightsKey]*Tally, len(state.Loaded))
	for _, l := range state.Loaded {
		if l.Loading || l.Adapter != "" {
			continue
		}
		key := weightsKey{l.Model, l.Version}
		tallies[key] = e.tallies[key]
		if tallies[key] == nil {
			tallies[key] = &Tally{Since: now}
		}
	}
	e.tallies = tallies
}

// countRun adds a finished run to the tally of its version.
func (e *engine) countRun(p *Prompt, outcome enginestate.Outcome) {
	t := e.tallies[weightsKey{p.Model, p.Version}]
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

func (e *engine) withhold(now time.Time, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withheldModel = model
	if model == "" {
		return
	}
	for grant, w := range e.pending {
		if w.model == model && !w.decided {
			e.state.Cancel(grant)
			e.decide(grant, errNotLoaded())
		}
	}
	e.tickLocked(now)
}

// errNotLoaded returns the error for a run whose weights the engine has not loaded.
// Another engine may have them.
func errNotLoaded() error {
	return result.New(result.EndpointRejected, result.WithRunState(result.NotRun))
}

// serves reports whether the engine serves runs with the prompt's weights. It returns
// true for an engine whose state has not been read yet, because the engine itself
// rejects runs that it cannot serve.
func (e *engine) serves(p *Prompt) bool {
	if e.withheldModel == p.Model && p.Model != "" {
		return false
	}
	if e.reported == nil {
		return true
	}
	return slices.ContainsFunc(e.reported.Loaded, func(l enginewire.Loaded) bool {
		return !l.Loading && l.Model == p.Model && l.Version == p.Version && (p.Adapter == "" || l.Adapter == p.Adapter)
	})
}

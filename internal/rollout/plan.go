package rollout

import (
	"slices"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// Step is the kind of an action on one set of weights.
type Step uint8

// The steps.
const (
	// Unload removes weights that must not serve, or that the engine does not need to keep its service
	// level. It needs the engine's claim.
	Unload Step = iota + 1
	// Await means that requested weights are being loaded.
	Await
	// Load loads requested weights while the engine serves no other version of the model. It needs the
	// engine's claim and a load slot.
	Load
	// Replace removes weights that serve now, so that the requested version can be loaded in their
	// place. In addition it needs the model's claim, and enough other engines in service.
	Replace
)

// Action is one step towards the desired state.
type Action struct {
	Step    Step
	Weights Weights
}

// Plan returns the next action for each set of weights that differs from the desired state. Unloads,
// which do not reduce service, come first. The result is empty if the engine is in the desired state.
// It is a pure function.
func Plan(want DesiredState, loaded []enginewire.Loaded) []Action {
	var unloads, rest []Action
	for _, l := range loaded {
		if removable(want, l, loaded) {
			unloads = append(unloads, Action{Unload, weightsOf(l)})
		}
	}
	if want.Leaving {
		return unloads
	}
	for _, t := range want.Targets {
		if a, ok := planTarget(t, loaded); ok {
			rest = append(rest, a)
		}
	}
	return append(unloads, rest...)
}

func weightsOf(l enginewire.Loaded) Weights {
	return Weights{Model: l.Model, Version: l.Version, Adapter: l.Adapter}
}

// removable reports whether weights can be unloaded without reducing service.
func removable(want DesiredState, l enginewire.Loaded, loaded []enginewire.Loaded) bool {
	t, ok := want.target(l.Model)
	if ok && !slices.Contains(t.Eligible, l.Version) {
		return true
	}
	if want.Leaving {
		return false
	}
	if !ok || (l.Adapter != "" && !slices.Contains(t.Adapters, l.Adapter)) {
		return true
	}
	if t.Version == "" || l.Version == t.Version {
		return false
	}
	return l.Loading || isLoaded(loaded, Weights{Model: t.Model, Version: t.Version})
}

// planTarget returns the next action for one model's target, or false if none is needed.
func planTarget(t Target, loaded []enginewire.Loaded) (Action, bool) {
	if t.Version == "" {
		return Action{}, false
	}
	names := append([]string{""}, t.Adapters...)
	for _, adapter := range names {
		w := Weights{Model: t.Model, Version: t.Version, Adapter: adapter}
		i := slices.IndexFunc(loaded, func(l enginewire.Loaded) bool { return weightsOf(l) == w })
		switch {
		case i >= 0 && loaded[i].Loading:
			return Action{Await, w}, true
		case i >= 0:
			continue
		}
		if current, ok := otherVersion(t, loaded); ok && adapter == "" {
			return Action{Replace, current}, true
		}
		return Action{Load, w}, true
	}
	return Action{}, false
}

// otherVersion returns loaded weights of another eligible version, adapters last, or false if there are
// none.
func otherVersion(t Target, loaded []enginewire.Loaded) (Weights, bool) {
	found := Weights{}
	for _, l := range loaded {
		if l.Model != t.Model || l.Version == t.Version || l.Loading || !slices.Contains(t.Eligible, l.Version) {
			continue
		}
		if found.Model == "" || l.Adapter == "" {
			found = weightsOf(l)
		}
	}
	return found, found.Model != ""
}

// isLoaded reports whether weights are in memory and can serve.
func isLoaded(loaded []enginewire.Loaded, w Weights) bool {
	return slices.ContainsFunc(loaded, func(l enginewire.Loaded) bool { return weightsOf(l) == w && !l.Loading })
}

// isLoading reports whether an engine is loading anything.
func isLoading(loaded []enginewire.Loaded) bool {
	return slices.ContainsFunc(loaded, func(l enginewire.Loaded) bool { return l.Loading })
}

package rollout

import (
	"slices"
	"strings"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
)

// Weights identifies one set of weights: those of a model version, or of an adapter for it.
type Weights struct {
	Model   string
	Version string
	Adapter string // empty for the model itself
}

// Target is the desired state of one model on an engine.
type Target struct {
	Model string
	// Version is empty if the model's version is withdrawn. In that case nothing is loaded, and other
	// versions that may serve are kept.
	Version  string
	Adapters []string // sorted by name
	// Eligible are the versions that new runs may use, sorted by name. They stay in memory until
	// Version replaces them.
	Eligible []string
}

// DesiredState is the state that the configuration requests of one engine.
type DesiredState struct {
	Targets []Target // sorted by model
	// Leaving is set for an engine that is being taken out of service: it gets no weights, and loses
	// only those that must not serve.
	Leaving bool
}

// Desired returns the state that a configuration requests of an engine. It is a pure function.
func Desired(view *config.View, endpoint *pb.Endpoint) DesiredState {
	want := DesiredState{Leaving: endpoint.GetLeaving()}
	for _, name := range slices.Sorted(slices.Values(endpoint.GetModels())) {
		if target, ok := targetOf(view, name); ok {
			want.Targets = append(want.Targets, target)
		}
	}
	return want
}

// targetOf returns the target of a model, or false if the model is not configured.
func targetOf(view *config.View, name string) (Target, bool) {
	model, ok := view.Model(name)
	if !ok {
		return Target{}, false
	}
	t := Target{Model: name, Adapters: adaptersOf(view, name), Eligible: eligible(view, name)}
	if slices.Contains(t.Eligible, model.GetVersion()) {
		t.Version = model.GetVersion()
	}
	return t, true
}

func adaptersOf(view *config.View, model string) []string {
	var names []string
	for value := range view.All(config.KindAdapter) {
		if a, ok := value.(*pb.Adapter); ok && a.GetModel() == model {
			names = append(names, a.GetName())
		}
	}
	slices.Sort(names)
	return names
}

func eligible(view *config.View, model string) []string {
	var versions []string
	for value := range view.All(config.KindVersion) {
		v, ok := value.(*pb.ModelVersion)
		if ok && v.GetModel() == model && !v.GetWithdrawn() {
			versions = append(versions, v.GetVersion())
		}
	}
	slices.Sort(versions)
	return versions
}

// target returns the target of a model, or false if there is none.
func (w DesiredState) target(model string) (Target, bool) {
	i, ok := slices.BinarySearchFunc(w.Targets, model, func(t Target, name string) int {
		return strings.Compare(t.Model, name)
	})
	if !ok {
		return Target{}, false
	}
	return w.Targets[i], true
}

package rollout

import (
	"math"
	"slices"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// defaultMinAvailable is the share of a model's engines that stay in service during a rollout if the
// model does not set one.
const defaultMinAvailable = 0.5

const roleLeaving = "leaving"

// minAvailable returns how many of n engines must stay in service. One engine may always be out of
// service, because otherwise a share close to 1 would block every rollout.
func minAvailable(model *pb.Model, n int) int {
	share := model.GetRolloutMinAvailable()
	if share == 0 {
		share = defaultMinAvailable
	}
	return min(int(math.Ceil(share*float64(n))), max(n-1, 0))
}

// serves reports whether an engine accepts new runs of a model.
func serves(t Target, state *enginewire.State) bool {
	if state == nil || state.Role == roleLeaving {
		return false
	}
	return slices.ContainsFunc(state.Loaded, func(l enginewire.Loaded) bool {
		return l.Model == t.Model && l.Adapter == "" && !l.Loading && slices.Contains(t.Eligible, l.Version)
	})
}

// anyHasTarget reports whether any engine holds or loads the requested version.
func anyHasTarget(t Target, states []*enginewire.State) bool {
	return slices.ContainsFunc(states, func(state *enginewire.State) bool {
		return state != nil && slices.ContainsFunc(state.Loaded, func(l enginewire.Loaded) bool {
			return l.Model == t.Model && l.Version == t.Version
		})
	})
}

// canTakeOut reports whether one of the engines in service may be taken out of service. states holds the
// states of all engines of the model, nil for an engine that does not answer. It is a pure function.
func canTakeOut(model *pb.Model, t Target, states []*enginewire.State) bool {
	serving := 0
	for _, state := range states {
		if serves(t, state) {
			serving++
		}
	}
	return serving-1 >= minAvailable(model, len(states))
}

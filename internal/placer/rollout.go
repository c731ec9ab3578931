package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// oldWeightsMs is the cost of weights that are no longer wanted: a fifth of
	// the request's worth, against an objective of 400 to 600 ms.
	oldWeightsMs = 120.0
	// oldWeightsAfter is how long old weights cost nothing after newer ones were
	// named.
	oldWeightsAfter = 1500 * time.Millisecond
	// nextInTurnMs is the cost of an engine that is about to be loaded: it should
	// have few runs to finish by then.
	nextInTurnMs = 60.0
	// beginMargin is the longest time from a placement until the run begins, which
	// is when its weights are judged.
	beginMargin = 2 * time.Second
	// rolloutTime is how long engines are avoided because they are next. After it
	// something else keeps them from being loaded.
	rolloutTime = 20 * time.Second
)

// rollout is how far the engines are on the way to a wanted version.
type rollout struct {
	model  string
	wanted int64
	age    time.Duration // since the version was named
	limit  time.Duration // from when on no request may begin on older weights
	behind []*fleet.Member
}

func (p *Placer) rollout(q *forward.Query) *rollout {
	wanted, since := p.Versions.Wanted(q.Attributes.Model)
	r := &rollout{model: q.Attributes.Model, wanted: wanted}
	if wanted == 0 {
		return r
	}
	r.age = time.Since(since)
	r.limit = p.VersionApply() - beginMargin
	r.behind = weights.Behind(p.Fleet.Members(q.Service.Name), r.model, wanted)
	return r
}

// filter removes the engines whose weights are too old, and those that load now
// unless no other is left.
func (r *rollout) filter(candidates []*fleet.Member) []*fleet.Member {
	if len(r.behind) == 0 {
		return candidates
	}
	if r.age > r.limit {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(m *fleet.Member) bool { return m.VersionOf(r.model) < r.wanted })
	}
	if r.age > rolloutTime {
		return candidates
	}
	others := slices.DeleteFunc(slices.Clone(candidates), r.loads)
	if len(others) == 0 {
		return candidates
	}
	return others
}

// loads reports whether the engine is among those that load now.
func (r *rollout) loads(m *fleet.Member) bool {
	i := slices.Index(r.behind, m)
	return i >= 0 && i < weights.AtOnce
}

// cost is what speaks against an engine because of its weights, in ms.
func (r *rollout) cost(m *fleet.Member) float64 {
	i := slices.Index(r.behind, m)
	if i < 0 {
		return 0
	}
	cost := 0.0
	if r.age > oldWeightsAfter {
		cost += oldWeightsMs
	}
	if i < 2*weights.AtOnce {
		cost += nextInTurnMs
	}
	return cost
}

package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// oldWeightsMs is the cost of weights that are no longer wanted: a fifth of
	// the request's worth, against an objective of 400 to 600 ms.
	oldWeightsMs = 120.0
	// oldWeightsAfter is how long old weights cost nothing after newer ones were
	// named.
	oldWeightsAfter = 1500 * time.Millisecond
	// beginMargin is the longest time from a placement until the run begins, which
	// is when its weights are judged.
	beginMargin = 2 * time.Second
	// shortAnswer is the longest answer, in tokens, that ends before an engine that
	// is being emptied loads.
	shortAnswer = 100
)

// rollout is how far the engines are on the way to a wanted version.
type rollout struct {
	model  string
	wanted int64
	age    time.Duration // since the version was named
	limit  time.Duration // from when on no request may begin on older weights
	// closed are the engines that a holder of orders has loaded now; true where
	// they take no requests at all, else they take short ones.
	closed map[string]bool
	short  bool // the request's answer is short
}

func (p *Placer) rollout(q *forward.Query) *rollout {
	wanted, since := p.Versions.Wanted(q.Attributes.Model)
	r := &rollout{model: q.Attributes.Model, wanted: wanted}
	r.age = time.Since(since)
	r.limit = p.VersionApply() - beginMargin
	r.closed = p.Peers.Closed(time.Now())
	for _, c := range p.Closed() {
		r.closed[c.Endpoint] = r.closed[c.Endpoint] || c.Loads
	}
	r.short = q.Attributes.OutputTokens <= shortAnswer
	return r
}

// filter removes the engines whose weights are too old, and those that load now
// unless no other is left.
func (r *rollout) filter(candidates []*fleet.Member) []*fleet.Member {
	if r.wanted > 0 && r.age > r.limit {
		candidates = slices.DeleteFunc(slices.Clone(candidates), r.isBehind)
	}
	if len(r.closed) == 0 {
		return candidates
	}
	open := slices.DeleteFunc(slices.Clone(candidates), r.isClosed)
	if len(open) == 0 {
		return candidates
	}
	return open
}

func (r *rollout) isBehind(m *fleet.Member) bool { return m.VersionOf(r.model) < r.wanted }

func (r *rollout) isClosed(m *fleet.Member) bool {
	loads, closed := r.closed[m.ID]
	return loads || closed && !r.short
}

// cost is what speaks against an engine because of its weights, in ms.
func (r *rollout) cost(m *fleet.Member) float64 {
	if r.isBehind(m) && r.age > oldWeightsAfter {
		return oldWeightsMs
	}
	return 0
}

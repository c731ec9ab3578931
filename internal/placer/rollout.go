package placer

import (
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
	// withdrawMargin is how long before the operators' bound a prompt is withdrawn that has not
	// begun on replaced weights: the way of the close to the engine, and a busy host's late timers.
	withdrawMargin = 200 * time.Millisecond
	// shortAnswer is the longest answer, in tokens, that ends before an engine that
	// is being emptied loads.
	shortAnswer = 100
)

// ReplacedLimit returns how long after weights were replaced the last prompts are placed on them,
// under the operators' bound on new weights.
func ReplacedLimit(versionApply time.Duration) time.Duration { return versionApply - beginMargin }

// rollout is how far the engines are on the way to a wanted version.
type rollout struct {
	model    string
	wanted   int64
	versions Versions
	limit    time.Duration // from when on no request is placed on replaced weights
	bound    time.Duration // from when on none may begin on them
	excused  func() (started, until time.Time)
	// closed are the engines that a holder of orders has loaded now; true where
	// they take no requests at all, else they take short ones.
	closed map[string]bool
	short  bool // the request's answer is short
	now    time.Time
}

func (p *Placer) rollout(q *forward.Query) *rollout {
	wanted, _ := p.Versions.Wanted(q.Attributes.Model)
	r := &rollout{
		model:    q.Attributes.Model,
		wanted:   wanted,
		versions: p.Versions,
		limit:    ReplacedLimit(p.VersionApply()),
		bound:    p.VersionApply(),
		excused:  p.Excused,
		closed:   p.Peers.Closed(p.Now()),
		short:    q.Attributes.OutputTokens <= shortAnswer,
		now:      p.Now(),
	}
	for _, c := range p.Closed() {
		r.closed[c.Endpoint] = r.closed[c.Endpoint] || c.Loads
	}
	return r
}

// replacedSince returns since when a version of the weights may have been replaced, and false
// where it is the wanted one.
func (r *rollout) replacedSince(version int64) (time.Time, bool) {
	if version >= r.wanted {
		return time.Time{}, false
	}
	return r.versions.Replaced(r.model, version)
}

// replacedFor returns how long ago the engine's weights may have been replaced, 0
// where they are the wanted ones.
func (r *rollout) replacedFor(m *fleet.Member) time.Duration {
	since, replaced := r.replacedSince(m.VersionOf(r.model))
	if !replaced {
		return 0
	}
	return r.now.Sub(since)
}

// beginBy returns when a prompt must have begun on a version of the weights; zero where that is
// the wanted one.
func (r *rollout) beginBy(version int64) time.Time {
	since, replaced := r.replacedSince(version)
	if !replaced {
		return time.Time{}
	}
	by := since.Add(r.bound)
	if r.excused == nil {
		return by.Add(-withdrawMargin)
	}
	// What a process finds at its start may have been replaced at any time before.
	if started, until := r.excused(); since.Before(started) && until.Before(by) {
		by = until
	}
	return by.Add(-withdrawMargin)
}

// filter removes the engines whose weights are too old or not known, and those that load now
// unless no other is left.
func (r *rollout) filter(candidates []*fleet.Member) []*fleet.Member {
	candidates = without(candidates, func(m *fleet.Member) bool { return r.isUnknown(m) || r.isOld(m) })
	open := without(candidates, r.isClosed)
	if len(open) == 0 {
		return candidates
	}
	return open
}

// isOld reports whether an engine's weights were replaced too long ago. Those that were not are
// never old, also where the operators' bound is missing or shorter than the margin.
func (r *rollout) isOld(m *fleet.Member) bool {
	since, replaced := r.replacedSince(m.VersionOf(r.model))
	return replaced && r.now.Sub(since) > r.limit
}

// isUnknown reports whether an engine's weights are not known though versions of them are. A
// prompt can't name the version that it expects there, so it could run on replaced weights.
func (r *rollout) isUnknown(m *fleet.Member) bool { return r.versioned(m) && m.VersionOf(r.model) == 0 }

// versioned reports whether versions of the model's weights are known, here or at the engine.
func (r *rollout) versioned(m *fleet.Member) bool {
	return r.wanted > 0 || m.Endpoint().VersionOf(r.model) > 0
}

func (r *rollout) isClosed(m *fleet.Member) bool {
	loads, closed := r.closed[m.ID]
	return loads || closed && !r.short
}

// cost is what speaks against an engine because of its weights, in ms.
func (r *rollout) cost(m *fleet.Member) float64 {
	if r.replacedFor(m) > oldWeightsAfter {
		return oldWeightsMs
	}
	return 0
}

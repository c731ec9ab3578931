package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// replacedWeightsMs is the cost of replaced weights: 20% to 30% of an objective of 400 to 600
	// ms.
	replacedWeightsMs = 120.0
	// replacedWeightsAfter is the time after the publication of newer weights during which replaced
	// ones cost nothing.
	replacedWeightsAfter = 1500 * time.Millisecond
	// beginMargin is the maximum time from a placement until the run begins, which is when its
	// weights are checked.
	beginMargin = 2 * time.Second
	// withdrawMargin is how long before the operators' limit a prompt on replaced weights is
	// withdrawn if it has not begun. It covers the time to close the request at the engine, and
	// late timers on a busy host.
	withdrawMargin = 200 * time.Millisecond
	// shortAnswer is the length, in tokens, up to which an answer is expected to end before a
	// draining engine loads new weights.
	shortAnswer = 100
)

// ReplacedLimit returns how long after weights were replaced prompts are still placed on them,
// given the operators' limit for applying new weights.
func ReplacedLimit(versionApply time.Duration) time.Duration { return versionApply - beginMargin }

// rollout is the state of the rollout of a model's wanted version.
type rollout struct {
	model         string
	wanted        int64
	versions      Versions
	placeLimit    time.Duration // age of replaced weights from which no request is placed on them
	beginLimit    time.Duration // age of replaced weights from which no run may begin on them
	replacedGrace func() (started, until time.Time)
	// closed holds the engines that load new weights, by ID. The value is true if an engine accepts
	// no requests at all, and false if it accepts short ones.
	closed map[string]bool
	short  bool // the answer is expected to be short
	now    time.Time
}

func (p *Placer) rollout(q *forward.Query) *rollout {
	wanted, _ := p.Versions.Wanted(q.Attributes.Model)
	r := &rollout{
		model:         q.Attributes.Model,
		wanted:        wanted,
		versions:      p.Versions,
		placeLimit:    ReplacedLimit(p.VersionApplyLimit()),
		beginLimit:    p.VersionApplyLimit(),
		replacedGrace: p.ReplacedGrace,
		closed:        p.PeerLoads.Closed(p.Now()),
		short:         q.Attributes.OutputTokens <= shortAnswer,
		now:           p.Now(),
	}
	for _, c := range p.Closed() {
		r.closed[c.Endpoint] = r.closed[c.Endpoint] || c.Loads
	}
	return r
}

// replacedSince returns the earliest time at which a version of the weights may have been replaced,
// and false if it is the wanted one.
func (r *rollout) replacedSince(version int64) (time.Time, bool) {
	if version >= r.wanted {
		return time.Time{}, false
	}
	return r.versions.Replaced(r.model, version)
}

// replacedFor returns how long ago the engine's weights may have been replaced; 0 if they are the
// wanted ones.
func (r *rollout) replacedFor(m *fleet.Member) time.Duration {
	since, replaced := r.replacedSince(m.VersionOf(r.model))
	if !replaced {
		return 0
	}
	return r.now.Sub(since)
}

// beginBy returns the latest time at which a prompt may begin on a version of the weights; zero if
// it is the wanted one.
func (r *rollout) beginBy(version int64) time.Time {
	since, replaced := r.replacedSince(version)
	if !replaced {
		return time.Time{}
	}
	by := since.Add(r.beginLimit)
	if r.replacedGrace == nil {
		return by.Add(-withdrawMargin)
	}
	// Weights found replaced at the start of this process may have been replaced at any time
	// before.
	if started, until := r.replacedGrace(); since.Before(started) && until.Before(by) {
		by = until
	}
	return by.Add(-withdrawMargin)
}

// filter removes the engines whose weights were replaced too long ago or are unknown, and those
// that are loading weights, unless no other engine is left.
func (r *rollout) filter(candidates []*fleet.Member) []*fleet.Member {
	candidates = without(candidates, func(m *fleet.Member) bool { return r.hasUnknownWeights(m) || r.isReplacedTooLong(m) })
	notLoading := without(candidates, r.isClosed)
	if len(notLoading) == 0 {
		return candidates
	}
	return notLoading
}

// isReplacedTooLong reports whether an engine's weights were replaced too long ago. It is false for
// the wanted weights, even if the operators' limit is missing or shorter than the margin.
func (r *rollout) isReplacedTooLong(m *fleet.Member) bool {
	since, replaced := r.replacedSince(m.VersionOf(r.model))
	return replaced && r.now.Sub(since) > r.placeLimit
}

// hasUnknownWeights reports whether an engine's weights are unknown though versions of the model
// are known. A request to such an engine can't state which version it expects, and could run on
// replaced weights.
func (r *rollout) hasUnknownWeights(m *fleet.Member) bool {
	return r.hasKnownVersions(m) && m.VersionOf(r.model) == 0
}

// hasKnownVersions reports whether versions of the model's weights are known, from the operators or
// from the engine's configuration.
func (r *rollout) hasKnownVersions(m *fleet.Member) bool {
	return r.wanted > 0 || m.Endpoint().VersionOf(r.model) > 0
}

func (r *rollout) isClosed(m *fleet.Member) bool {
	loads, closed := r.closed[m.ID]
	return loads || closed && !r.short
}

// cost returns the cost of an engine's replaced weights, in ms.
func (r *rollout) cost(m *fleet.Member) float64 {
	if r.replacedFor(m) > replacedWeightsAfter {
		return replacedWeightsMs
	}
	return 0
}

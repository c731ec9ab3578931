package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// oldWeightsMs is the cost of replaced weights: a fifth of the request's value, against an
	// objective of 400 to 600 ms.
	oldWeightsMs = 120.0
	// oldWeightsAfter is how long replaced weights cost nothing after newer ones were published.
	oldWeightsAfter = 1500 * time.Millisecond
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
	limit         time.Duration // age of replaced weights from which no request is placed on them
	bound         time.Duration // age of replaced weights from which no run may begin on them
	replacedGrace func() (started, until time.Time)
	// closed holds the engines that load new weights now. The value is true if they take no
	// requests at all, and false if they take short ones.
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
		limit:         ReplacedLimit(p.VersionApplyLimit()),
		bound:         p.VersionApplyLimit(),
		replacedGrace: p.ReplacedGrace,
		closed:        p.Peers.Closed(p.Now()),
		short:         q.Attributes.OutputTokens <= shortAnswer,
		now:           p.Now(),
	}
	for _, c := range p.Closed() {
		r.closed[c.Endpoint] = r.closed[c.Endpoint] || c.Loads
	}
	return r
}

// replacedSince returns since when a version of the weights may have been replaced, and false if it
// is the wanted one.
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
	by := since.Add(r.bound)
	if r.replacedGrace == nil {
		return by.Add(-withdrawMargin)
	}
	// Weights found replaced at the start of this process may have been replaced at any time before.
	if started, until := r.replacedGrace(); since.Before(started) && until.Before(by) {
		by = until
	}
	return by.Add(-withdrawMargin)
}

// filter removes the engines whose weights are too old or unknown, and those that load weights now
// unless no other engine is left.
func (r *rollout) filter(candidates []*fleet.Member) []*fleet.Member {
	candidates = without(candidates, func(m *fleet.Member) bool { return r.isUnknown(m) || r.isOld(m) })
	open := without(candidates, r.isClosed)
	if len(open) == 0 {
		return candidates
	}
	return open
}

// isOld reports whether an engine's weights were replaced too long ago. The wanted weights are
// never old, even if the operators' limit is missing or shorter than the margin.
func (r *rollout) isOld(m *fleet.Member) bool {
	since, replaced := r.replacedSince(m.VersionOf(r.model))
	return replaced && r.now.Sub(since) > r.limit
}

// isUnknown reports whether an engine's weights are unknown though versions of the model are known.
// A prompt can't name the version that it expects there, so it could run on replaced weights.
func (r *rollout) isUnknown(m *fleet.Member) bool { return r.versioned(m) && m.VersionOf(r.model) == 0 }

// versioned reports whether versions of the model's weights are known, from the operators or from
// the engine's configuration.
func (r *rollout) versioned(m *fleet.Member) bool {
	return r.wanted > 0 || m.Endpoint().VersionOf(r.model) > 0
}

func (r *rollout) isClosed(m *fleet.Member) bool {
	loads, closed := r.closed[m.ID]
	return loads || closed && !r.short
}

// cost returns the cost of an engine's replaced weights, in ms.
func (r *rollout) cost(m *fleet.Member) float64 {
	if r.replacedFor(m) > oldWeightsAfter {
		return oldWeightsMs
	}
	return 0
}

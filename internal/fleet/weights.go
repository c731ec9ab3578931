package fleet

import (
	"slices"
	"time"
)

const (
	// maxEntryAge is the maximum age of the newest registry entry known to a node: a heartbeat interval
	// of 1.2 s plus a registry copy that is up to 2.5 s old. The entry takes precedence over a
	// report older than this.
	maxEntryAge = 4 * time.Second
	// guessTTL is how long a guessed version is kept without an answer that confirms it. By then the
	// endpoint's next heartbeat has been read.
	guessTTL = 2 * time.Second
	// A report is replaced by one with the same content only if that one is at least refreshAfter newer.
	refreshAfter = 500 * time.Millisecond
)

// WeightsReport is a weights version reported by the endpoint itself, in an answer or in a status
// report.
type WeightsReport struct {
	Weights
	StartedMs int64     // start time of the reporting endpoint; 0 if unknown
	At        time.Time // earliest time at which it was true
}

// weightsEstimate is this node's information on an endpoint's weights beyond its registry entry.
type weightsEstimate struct {
	Weights           // a version of 0 means unknown
	at      time.Time // earliest time at which it was true
	// direct is true for a report made by the endpoint to this node, and false for reports relayed by
	// other nodes and for guesses.
	direct bool
	// guess is true if the version was only inferred from a refusal.
	guess bool
}

// VersionOf returns the estimated version of the model at the endpoint, or 0 if unknown. The estimate
// can be too old or too new, so each request states the version that it expects.
func (m *Member) VersionOf(model string) int64 {
	if est := m.estimate.Load(); est != nil && est.Model == model {
		return est.Version
	}
	return m.Endpoint().VersionOf(model)
}

// UnlistedWeights returns the weights that the endpoint reported to this node and that its registry
// entry does not contain yet. It returns false if there are none.
func (m *Member) UnlistedWeights() (WeightsReport, bool) {
	est := m.estimate.Load()
	if est == nil || !est.direct || est.Version == m.Endpoint().VersionOf(est.Model) {
		return WeightsReport{}, false
	}
	return WeightsReport{Weights: est.Weights, StartedMs: m.StartedMs, At: est.at}, true
}

// RecordWeights records the weights that the endpoint reported to this node. The newest report
// applies even if it names an older version, since a delayed order, or one undone by a crash, can
// make the endpoint load older weights. Reports by another start of the endpoint are discarded, and so are
// answers to requests that were sent before the entry announced newer weights,
// unless there is an estimate for the model.
func (m *Member) RecordWeights(s WeightsReport) { m.recordReport(s, true) }

// RecordRelayedWeights records weights that the endpoint reported to another node.
func (m *Member) RecordRelayedWeights(s WeightsReport) { m.recordReport(s, false) }

func (m *Member) recordReport(s WeightsReport, direct bool) {
	if s.StartedMs != 0 && m.StartedMs != 0 && s.StartedMs != m.StartedMs {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	est := m.estimate.Load()
	switch listed := m.Endpoint().VersionOf(s.Model); {
	case est != nil && est.Model == s.Model:
		if est.supersedes(&s, direct) {
			return
		}
	case s.Version == listed, s.Version < listed && s.At.Before(m.weightsChanged):
		return
	}
	m.estimate.Store(&weightsEstimate{Weights: s.Weights, at: s.At, direct: direct})
}

// supersedes reports whether the current estimate stays in place when report s about the same model
// arrives, because s is older or repeats it.
func (est *weightsEstimate) supersedes(s *WeightsReport, direct bool) bool {
	same := est.Version == s.Version && (est.direct || !direct)
	return s.At.Before(est.at) || same && s.At.Sub(est.at) < refreshAfter
}

// RecordVersionRefusal records that the endpoint refused a request because it does not have the
// expected version. The estimate becomes the version in its entry or, if that is the refused one,
// the next version. If the refused version was itself a guess, the version is unknown until the
// endpoint reports it.
func (m *Member) RecordVersionRefusal(model string, version int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.VersionOf(model) != version {
		return // newer information has arrived since
	}
	next := &weightsEstimate{Weights: Weights{Model: model}, at: now, guess: true}
	est := m.estimate.Load()
	listed := m.Endpoint().VersionOf(model)
	switch {
	case est != nil && est.guess:
	case listed != version:
		next.Version = listed
	default:
		next.Version = version + 1
	}
	m.estimate.Store(next)
}

// applyEntry stores a newer entry of the same start. It discards the estimate if the entry names the
// estimated version or an older version than the previous entry did, or if the entry's version changed
// and the estimate names an older version or is a guess.
func (m *Member) applyEntry(e *Endpoint, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.Endpoint()
	m.entry.Store(e)
	m.applyColdLeft(previous, e, now)
	if !slices.Equal(previous.Weights, e.Weights) {
		m.weightsChanged = now
	}
	est := m.estimate.Load()
	if est == nil {
		return
	}
	listed, last := e.VersionOf(est.Model), previous.VersionOf(est.Model)
	changed := listed != last
	if listed == est.Version || listed < last || changed && (est.guess || listed > est.Version) {
		m.estimate.Store(nil)
	}
}

// expireEstimate discards an estimate that is older than the entry can be, as the endpoint would have
// included it in the entry.
func (m *Member) expireEstimate(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	est := m.estimate.Load()
	if est == nil {
		return
	}
	limit := maxEntryAge
	if est.guess {
		limit = guessTTL
	}
	if now.Sub(est.at) > limit {
		m.estimate.Store(nil)
	}
}

package fleet

import (
	"slices"
	"time"
)

const (
	// entryAge is how long ago the newest entry that a node knows may have been written: a
	// heartbeat of 1.2 s, and a copy of the registry that is up to 2.5 s old. What is older
	// than that yields to the entry.
	entryAge = 4 * time.Second
	// guessAge is how long a guess lasts that the endpoint doesn't confirm by an answer: until
	// its next heartbeat is read.
	guessAge = 2 * time.Second
	// confirmAfter is the age of a statement from which the same one is noted again.
	confirmAfter = 500 * time.Millisecond
)

// Statement is a version of weights that an endpoint itself named, in an answer or a report.
type Statement struct {
	Weights
	Born int64     // start of the endpoint that said it; 0 if not known
	At   time.Time // when it was true at the earliest
}

// belief is what is known of an endpoint's weights beyond its entry.
type belief struct {
	Weights           // a version of 0 is one that is not known
	at      time.Time // when it was true at the earliest
	// own is true for what the endpoint said to this node, and false for what other nodes
	// tell and for guesses.
	own bool
	// guess is true for what only follows from a refusal.
	guess bool
}

// VersionOf returns the version of the model that the endpoint is believed to have, 0 where it
// is not known. It may be wrong either way: a prompt names the version that it expects.
func (m *Member) VersionOf(model string) int64 {
	if b := m.belief.Load(); b != nil && b.Model == model {
		return b.Version
	}
	return m.Endpoint().VersionOf(model)
}

// Seen returns the weights that the endpoint named to this node and its entry doesn't tell yet.
func (m *Member) Seen() (Statement, bool) {
	b := m.belief.Load()
	if b == nil || !b.own || b.Version == m.Endpoint().VersionOf(b.Model) {
		return Statement{}, false
	}
	return Statement{Weights: b.Weights, Born: m.Born, At: b.at}, true
}

// Saw notes what the endpoint said of its weights. The newest statement counts, also where it
// names an older version than was believed: an order that is carried out late, or one that a
// crash undid, brings older weights back. What another start of the endpoint said is dropped, and
// so is the answer to a request that was sent before the entry told of newer weights.
func (m *Member) Saw(s Statement) { m.note(s, true) }

// Heard notes what another node was told by the endpoint.
func (m *Member) Heard(s Statement) { m.note(s, false) }

func (m *Member) note(s Statement, own bool) {
	if s.Born != 0 && m.Born != 0 && s.Born != m.Born {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.belief.Load()
	switch listed := m.Endpoint().VersionOf(s.Model); {
	case b != nil && b.Model == s.Model:
		if b.outweighs(&s, own) {
			return
		}
	case s.Version == listed, s.Version < listed && s.At.Before(m.listed):
		return
	}
	m.belief.Store(&belief{Weights: s.Weights, at: s.At, own: own})
}

// outweighs reports whether a statement on the same model changes nothing.
func (b *belief) outweighs(s *Statement, own bool) bool {
	same := b.Version == s.Version && (b.own || !own)
	return s.At.Before(b.at) || same && s.At.Sub(b.at) < confirmAfter
}

// Refuted notes that the endpoint refused a request for expecting a version, which it doesn't
// have. It has a newer one, most likely, or the one that its entry names. Where that was refused,
// too, its weights are not known until it says more.
func (m *Member) Refuted(model string, version int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.VersionOf(model) != version {
		return // something newer is known already
	}
	next := &belief{Weights: Weights{Model: model}, at: now, guess: true}
	b := m.belief.Load()
	listed := m.Endpoint().VersionOf(model)
	switch {
	case b != nil && b.guess:
	case listed != version:
		next.Version = listed
	default:
		next.Version = version + 1
	}
	m.belief.Store(next)
}

// take stores a newer entry of the same start. An entry that names what is believed, a newer
// version, or an older one than the entry before did, is the newest news.
func (m *Member) take(e *Endpoint, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.Endpoint()
	m.entry.Store(e)
	m.heed(before, e, now)
	if !slices.Equal(before.Weights, e.Weights) {
		m.listed = now
	}
	b := m.belief.Load()
	if b == nil {
		return
	}
	listed, last := e.VersionOf(b.Model), before.VersionOf(b.Model)
	changed := listed != last
	if listed == b.Version || listed < last || changed && (b.guess || listed > b.Version) {
		m.belief.Store(nil)
	}
}

// settle has the entry count again where what is believed beyond it is older than the entry can
// be: the endpoint would have said it there.
func (m *Member) settle(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.belief.Load()
	if b == nil {
		return
	}
	limit := entryAge
	if b.guess {
		limit = guessAge
	}
	if now.Sub(b.at) > limit {
		m.belief.Store(nil)
	}
}

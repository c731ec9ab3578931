package fleet

import "time"

// RateLimit is an endpoint's newest word on how many requests it takes.
type RateLimit struct {
	// PerSecond is the number of requests in a second that it takes from all nodes together.
	PerSecond float64
	InForce   bool      // false once it names no limit any more
	At        time.Time // when it said so
	// Own is true for what it said to this node, and false for what another node tells.
	Own bool
}

// RateLimit returns the endpoint's newest word on a limit; false where it never named one.
func (w *Word) RateLimit() (limit RateLimit, known bool) {
	if l := w.limit.Load(); l != nil {
		return *l, true
	}
	return RateLimit{}, false
}

// NamesLimit notes an answer that came at a time and names a limit. It reports whether that differs
// from what was known.
func (w *Word) NamesLimit(perSecond float64, at time.Time) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.limit.Load()
	if before != nil && at.Before(before.At) {
		return false
	}
	w.limit.Store(&RateLimit{PerSecond: perSecond, InForce: true, At: at, Own: true})
	return before == nil || !before.InForce || before.PerSecond != perSecond
}

// NamesNoLimit notes an answer that came at a time and names none. It reports whether that ends a
// limit: the answer to a request that was sent before the limit was named may only have come late.
func (w *Word) NamesNoLimit(sent, at time.Time) (ended bool) {
	if w.limit.Load() == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.limit.Load()
	if sent.Before(before.At) {
		return false
	}
	w.limit.Store(&RateLimit{At: at, Own: true})
	return before.InForce
}

// HeardLimit notes what another node tells of the endpoint's word. It reports whether that differs from what
// was known; an older word than the known one changes nothing.
func (w *Word) HeardLimit(l RateLimit) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.limit.Load()
	switch {
	case before == nil && !l.InForce, before != nil && !l.At.After(before.At):
		return false
	}
	w.limit.Store(&l)
	return before == nil || before.InForce != l.InForce || l.InForce && before.PerSecond != l.PerSecond
}

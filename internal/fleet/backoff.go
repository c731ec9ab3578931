package fleet

import "time"

// MaxBackoff is the longest backoff that a node honours. A longer one is cut to it, so that an endpoint
// that reports a wrong backoff is not excluded indefinitely.
const MaxBackoff = 10 * time.Minute

// Backoff is the period during which an endpoint accepts no requests from this node, as stated when it
// refused one.
type Backoff struct {
	Until time.Time
	At    time.Time // when the endpoint last requested a backoff
}

// RecordBackoff records that the endpoint refused a request at the given time and requested a
// backoff of d. If backoffs overlap, the one that ends last applies. It reports whether no backoff
// was in effect before.
//
// After the time at which a later start of the endpoint began, that one has refused it: the request was sent before
// this node knew of it.
func (s *Signals) RecordBackoff(d time.Duration, at time.Time) (started bool) {
	started = s.extendBackoff(Backoff{Until: at.Add(min(d, MaxBackoff)), At: at})
	if later := s.later.Load(); later != nil && at.After(later.startedAt) {
		return later.signals.RecordBackoff(d, at)
	}
	return started
}

// extendBackoff records a backoff, and reports whether none was in effect before.
func (s *Signals) extendBackoff(next Backoff) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.backoff.Load()
	if previous != nil && previous.Until.After(next.Until) {
		next.Until = previous.Until
	}
	s.backoff.Store(&next)
	return previous == nil || !next.At.Before(previous.Until)
}

// maxUnlisted is the longest time for which a start may answer before its registry entry is read. A report
// that seems later is not the start's.
const maxUnlisted = 10 * time.Second

// keepReports keeps what an earlier start of the endpoint seemed to report after the later start: a limit, a
// backoff, and that it drains. A node learns of a start from the registry, so the first answers of a start count as
// those of the one before.
func (s *Signals) keepReports(previous *Signals, startedAt time.Time) {
	if previous == nil {
		return
	}
	previous.later.Store(&laterStart{signals: s, startedAt: startedAt}) // first, so that no backoff is recorded unseen
	if b := previous.backoff.Load(); b != nil && b.At.After(startedAt) {
		s.extendBackoff(*b)
	}
	seemsOwn := func(at time.Time) bool { return at.After(startedAt) && at.Sub(startedAt) < maxUnlisted }
	if at := previous.draining.Load(); at != nil && seemsOwn(*at) {
		s.draining.Store(at)
	}
	if limit := previous.limit.Load(); limit != nil && seemsOwn(limit.At) {
		s.limit.Store(limit)
	}
}

// Backoff returns the backoff in effect, or false if there is none.
func (s *Signals) Backoff(now time.Time) (Backoff, bool) {
	if b := s.backoff.Load(); b != nil && now.Before(b.Until) {
		return *b, true
	}
	return Backoff{}, false
}

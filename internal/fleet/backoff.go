package fleet

import "time"

// MaxBackoff is the longest backoff that is kept. An endpoint that asks for more gets requests again after
// it: one that is wrong must not take it from its callers for good.
const MaxBackoff = 10 * time.Minute

// Backoff is the time for which an endpoint wants no requests of this node, as it asked when it refused one.
type Backoff struct {
	Until time.Time
	At    time.Time // when it last asked for it
}

// BackOff notes that the endpoint refused a request at a time and wants none for so long. The longest time that
// it asked for counts. It reports whether there was no backoff before.
func (s *Signals) BackOff(d time.Duration, at time.Time) (begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := Backoff{Until: at.Add(min(d, MaxBackoff)), At: at}
	before := s.backoff.Load()
	if before != nil && before.Until.After(next.Until) {
		next.Until = before.Until
	}
	s.backoff.Store(&next)
	return before == nil || !at.Before(before.Until)
}

// Backoff returns the backoff that the endpoint has asked for, and false where none is left.
func (s *Signals) Backoff(now time.Time) (Backoff, bool) {
	if b := s.backoff.Load(); b != nil && now.Before(b.Until) {
		return *b, true
	}
	return Backoff{}, false
}

package fleet

import "time"

// MostRest is the longest rest that is kept. One who asks for more is asked again after it: a word that is
// wrong must not take an endpoint from its callers for good.
const MostRest = 10 * time.Minute

// Rest is the time for which an endpoint wants no requests of this node, as it said when it refused one.
type Rest struct {
	Until time.Time
	At    time.Time // when it last said so
}

// Rests notes that the endpoint refused a request at a time and wants none for so long. The longest of what it
// asked for counts. It reports whether the endpoint was not resting before.
func (w *Word) Rests(d time.Duration, at time.Time) (begins bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := Rest{Until: at.Add(min(d, MostRest)), At: at}
	before := w.rest.Load()
	if before != nil && before.Until.After(next.Until) {
		next.Until = before.Until
	}
	w.rest.Store(&next)
	return before == nil || !at.Before(before.Until)
}

// Resting returns the rest that the endpoint has asked for, and false where none is left.
func (w *Word) Resting(now time.Time) (Rest, bool) {
	if r := w.rest.Load(); r != nil && now.Before(r.Until) {
		return *r, true
	}
	return Rest{}, false
}

package fleet

import "time"

// unknownFor is how long after an endpoint has ended it may be a new start under its id without its entry
// saying so: until the entry of one that is gone has lapsed, and a copy of the registry that is up to
// 2.5 s old tells it.
const unknownFor = 6500 * time.Millisecond

// ColdUntil returns until when the endpoint is cold, or may be: it has just started and takes few
// requests.
func (m *Member) ColdUntil() time.Time {
	if until := m.cold.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// Cold reports whether the endpoint is cold, or may be.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.ColdUntil()) }

// Chill has the endpoint count as cold until a time, and for no shorter time than before.
func (m *Member) Chill(until time.Time) {
	for {
		known := m.cold.Load()
		if known != nil && !until.After(*known) || m.cold.CompareAndSwap(known, &until) {
			return
		}
	}
}

// Ends notes that the endpoint ended: nothing listens at its address any more, or another one answers
// there. It gets no requests until its entry is gone. Whatever answers under its id before that has
// started since; after it, the entry is one that was written since and says so itself.
func (m *Member) Ends(now time.Time) {
	m.down.Store(true)
	m.Chill(now.Add(unknownFor))
	m.Health.Ended(now)
}

// Answered notes that the endpoint answered. If it had ended it is cold from now on, for as long as
// its service's endpoints are after a start.
func (m *Member) Answered(now time.Time, coldStart time.Duration) {
	if m.down.Swap(false) && m.Cold(now) {
		m.Chill(now.Add(coldStart))
	}
}

// heed takes what an entry says of how long the endpoint is cold. That counts down from when it was
// first said: the same or a smaller time is the countdown itself, told late or once more.
func (m *Member) heed(before, e *Endpoint, now time.Time) {
	if e.ColdLeft <= 0 || before != nil && before.ColdLeft >= e.ColdLeft {
		return
	}
	m.Chill(now.Add(e.ColdLeft))
}

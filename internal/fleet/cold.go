package fleet

import "time"

// coldAfterEnd is the time after an endpoint ended during which a new start may use its id without being
// visible in the entry yet: until the entry of the ended start has expired, and the new one is visible in a
// registry copy that is up to 2.5 s old.
const coldAfterEnd = 6500 * time.Millisecond

// ColdUntil returns the time until which the endpoint is, or may be, cold: it has just started and
// accepts few requests. The zero time means that it was never cold.
func (m *Member) ColdUntil() time.Time {
	if until := m.cold.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// Cold reports whether the endpoint is, or may be, cold at the given time.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.ColdUntil()) }

// MarkCold marks the endpoint as cold until the given time. It never shortens the cold period.
func (m *Member) MarkCold(until time.Time) {
	for {
		current := m.cold.Load()
		if current != nil && !until.After(*current) || m.cold.CompareAndSwap(current, &until) {
			return
		}
	}
}

// MarkEnded records that the endpoint ended: nothing listens at its address any more, or another
// endpoint answers there. It gets no requests for ejectMax. A process that answers under its id
// within coldAfterEnd is a new start; an entry seen after that was written by a new start and states its
// cold period itself.
func (m *Member) MarkEnded(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.cold.Load()
	m.ended.Store(true)
	m.MarkCold(now.Add(coldAfterEnd))
	if marked := m.cold.Load(); marked != before { // else a longer period was in force
		if m.endMark == nil {
			m.endMark = &coldMark{before: before}
		}
		m.endMark.current = marked
	}
	m.Health.RecordEnd(now)
}

// coldMark is the cold period that MarkEnded set, with the one before.
type coldMark struct{ before, current *time.Time }

// forgetFailures discards this node's failed attempts at the endpoint, and that it seemed to have ended.
func (m *Member) forgetFailures() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Health.reset()
	m.ended.Store(false)
	if mark := m.endMark; mark != nil {
		m.cold.CompareAndSwap(mark.current, mark.before)
		m.endMark = nil
	}
}

// ForgetFailures discards this node's failed attempts at a service's endpoints, once it is known that
// they failed for want of a path: nothing is known of the endpoints from them.
func (f *Fleet) ForgetFailures(service string) {
	for _, m := range f.Members(service) {
		m.forgetFailures()
	}
}

// RecordAnswer records an answer of the endpoint. If the endpoint had ended, and the cold period set by
// MarkEnded is not over, it is a new start and is marked as cold for coldStart, the cold period of its
// service's endpoints.
func (m *Member) RecordAnswer(now time.Time, coldStart time.Duration) {
	if !m.ended.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endMark = nil // what was marked was an end
	if m.ended.Swap(false) && m.Cold(now) {
		m.MarkCold(now.Add(coldStart))
	}
}

// applyColdLeft applies the remaining cold period from an entry. The period runs from the time it was
// first read: an entry with the same or a smaller value repeats the same period and is ignored.
func (m *Member) applyColdLeft(previous, e *Endpoint, now time.Time) {
	if e.ColdLeft <= 0 || previous != nil && previous.ColdLeft >= e.ColdLeft {
		return
	}
	m.MarkCold(now.Add(e.ColdLeft))
}

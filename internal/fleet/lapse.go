package fleet

import "time"

// Lapse schedules the removal of an endpoint whose entry may only have expired because of a registry
// outage. It is removed at the given time unless its entry has reappeared by then, or immediately if
// it was draining.
func (f *Fleet) Lapse(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[id]
	switch {
	case !known || !m.lapseEnds.IsZero():
	case m.Endpoint().Draining:
		f.removeMember(m)
		f.rebuild()
	default:
		m.lapseEnds = until
		f.log.Info().Str("event", "endpoint_lapsed").Str("endpoint", id).Send()
	}
}

// EndLapses removes the endpoints whose lapse period is over.
func (f *Fleet) EndLapses(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLapses(now)
}

func (f *Fleet) endLapses(now time.Time) {
	changed := false
	for _, m := range f.members {
		if !m.lapseEnds.IsZero() && !now.Before(m.lapseEnds) {
			f.removeMember(m)
			changed = true
		}
	}
	if changed {
		f.rebuild()
	}
}

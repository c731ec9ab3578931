package fleet

import "time"

// Lapse takes an endpoint off whose entry may only have lapsed during an outage of the registry:
// it stays until a time, unless it was draining or is back by then.
func (f *Fleet) Lapse(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[id]
	switch {
	case !known || !m.lapsed.IsZero():
	case m.Endpoint().Draining:
		f.drop(m)
		f.rebuild()
	default:
		m.lapsed = until
		f.log.Info().Str("event", "endpoint_lapsed").Str("endpoint", id).Send()
	}
}

// EndLapses drops the endpoints whose entries lapsed and whose time is over.
func (f *Fleet) EndLapses(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLapses(now)
}

func (f *Fleet) endLapses(now time.Time) {
	changed := false
	for _, m := range f.members {
		if !m.lapsed.IsZero() && !now.Before(m.lapsed) {
			f.drop(m)
			changed = true
		}
	}
	if changed {
		f.rebuild()
	}
}

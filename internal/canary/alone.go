package canary

import "time"

// aloneMargin is how long a node that hears others again keeps to its own judgement: by then it has read the
// newest phase.
const aloneMargin = 5 * time.Second

// judgeAlone keeps requests of an isolated node from a release that is worse by its own answers, as it hears
// of no rollback.
func (s *Service) judgeAlone(o *orderState, w *orderWork, now time.Time) {
	own := Evidence{Rows: o.rows}
	if s.config.Isolated() && own.worse() != "" {
		w.worseAloneAt = now
	}
	avoids := !w.worseAloneAt.IsZero() && now.Sub(w.worseAloneAt) < aloneMargin
	if s.config.Gate.setAvoided(o.Service, o.ID, avoids) {
		s.config.Log.Info().Str("event", "release_avoided").Str("service", o.Service).Str("release", o.Release).Int64("order", o.ID).
			Bool("in_force", avoids).Send()
	}
}

// setAvoided stops or resumes this node's requests to the release on trial. It reports whether that is a change.
func (g *Gate) setAvoided(service string, order int64, avoided bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.order.ID != order || s.avoided == avoided {
		return false
	}
	s.avoided = avoided
	return true
}

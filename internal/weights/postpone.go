package weights

import "github.com/cherryward/cherryward/internal/fleet"

// PostponeReason tells why an engine was postponed in favor of another.
type PostponeReason string

const (
	// PostponedSilent means that the engine did not report before it was ordered to load.
	PostponedSilent PostponeReason = "silent"
	// PostponedUnfinished means that the engine did not reach the requested version in time.
	PostponedUnfinished PostponeReason = "unfinished"
)

// postponeReason returns why the job of an engine is postponed, and false if it isn't.
func (s *Service) postponeReason(id string, j *job) (PostponeReason, bool) {
	silentFor := s.run - j.reportedRun
	if silentFor > jobTimeout || s.run-j.startedRun > jobTimeout+reportsOfJob*s.reportTimes[id] {
		return PostponedUnfinished, true
	}
	if j.orderedAt.IsZero() && silentFor > s.reportLimit(id) {
		return PostponedSilent, true
	}
	return "", false
}

// postpone ends the job of an engine, which gets another one after the other engines.
func (s *Service) postpone(m *fleet.Member, j *job, reason PostponeReason) {
	now, id := s.Clock.Now(), m.ID
	delete(s.jobs, id)
	s.postponed[id] = now
	s.Log.Warn().Str("event", "job_postponed").Str("endpoint", id).Int64("born", j.startedMs).Str("reason", string(reason)).
		Int64("version", j.version).Bool("ordered", !j.orderedAt.IsZero()).Dur("age_ms", now.Sub(j.startedAt)).
		Dur("unreported_ms", s.run-j.reportedRun).Dur("report_ms", s.reportTimes[id]).Send()
	if s.Postponed != nil {
		s.Postponed(reason)
	}
	if s.run-j.reportedRun > s.reportLimit(id) {
		s.checkPath(m)
	}
}

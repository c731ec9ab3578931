package weights

import "time"

// PostponeReason tells why an engine was postponed in favor of another.
type PostponeReason string

const (
	// PostponedSilent means that the engine did not report before it was ordered to load.
	PostponedSilent PostponeReason = "silent"
	// PostponedUnfinished means that the engine did not reach the requested version in time.
	PostponedUnfinished PostponeReason = "unfinished"
)

// postponeReason returns why a job is postponed, and false if it isn't.
func (j *job) postponeReason(now time.Time) (PostponeReason, bool) {
	if now.Sub(j.startedAt) > jobTimeout {
		return PostponedUnfinished, true
	}
	if j.orderedAt.IsZero() && now.Sub(j.lastReportAt) > silentTimeout {
		return PostponedSilent, true
	}
	return "", false
}

// postpone ends the job of an engine, which gets another one after the other engines.
func (s *Service) postpone(id string, j *job, reason PostponeReason) {
	now := s.Clock.Now()
	delete(s.jobs, id)
	s.postponed[id] = now
	s.Log.Warn().Str("event", "job_postponed").Str("endpoint", id).Int64("born", j.startedMs).Str("reason", string(reason)).
		Int64("version", j.version).Bool("ordered", !j.orderedAt.IsZero()).Dur("age_ms", now.Sub(j.startedAt)).
		Dur("unreported_ms", now.Sub(j.lastReportAt)).Send()
	if s.Postponed != nil {
		s.Postponed(reason)
	}
}

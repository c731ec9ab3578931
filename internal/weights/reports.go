package weights

import (
	"context"
	"time"
)

const (
	// reportWait is the time for which a step waits for reports. Those that arrive later are used by a later step, so
	// that no engine delays the others.
	reportWait = stepInterval
	// silentTimeout is the time after which an engine that does not report, and has no order yet, is postponed in
	// favor of another, unless its reports take longer. With jobTimeout alone, one silent engine of nine would
	// delay the others beyond the operators' time limit.
	silentTimeout = time.Second
	// maxReportTime is the longest time that a report may take.
	maxReportTime = 3 * time.Second
	// maxOutstanding is the maximum number of reports of a job that are outstanding at once. With one at a time, the
	// end of a load would be seen up to two report times late, during which no other engine may load in its place.
	maxOutstanding = 5
	// reportsOfJob is the number of reports that a job needs one after the other.
	reportsOfJob = 4
	// maxStepTime is the longest time that a step takes while the process runs.
	maxStepTime = 3 * (reportWait + stepInterval) / 2
)

// reportLimit returns the time after which a report of an engine is given up: longer for one whose reports took long.
func (s *Service) reportLimit(id string) time.Duration {
	return min(max(silentTimeout, 2*s.reportTimes[id]), maxReportTime)
}

// countRun adds the time since the latest step to the time for which the service ran. Time for which the process stood
// still is left out, as it tells nothing about engines.
func (s *Service) countRun() {
	now := s.Clock.Now()
	s.run += min(now.Sub(s.lastStepAt), maxStepTime)
	s.lastStepAt = now
}

// prepareReports drops the state of an earlier claim's reports. Requests end with ctx.
func (s *Service) prepareReports(ctx context.Context) {
	s.reportContext = ctx
	s.arrived = make(chan engineCheck)
	s.outstanding = make(map[*job]int)
	s.reportTimes = make(map[string]time.Duration)
	s.lastStepAt = s.Clock.Now()
}

// requestReports requests reports without waiting for them.
func (s *Service) requestReports(checks []engineCheck) {
	ctx, arrived := s.reportContext, s.arrived
	for _, check := range checks {
		s.outstanding[check.job]++
		check.requestedAt = s.Clock.Now()
		limit := s.reportLimit(check.member.ID)
		s.inFlight.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			check.report, check.err = s.Engines.Report(bounded, check.member.Endpoint())
			check.took = s.Clock.Since(check.requestedAt)
			select {
			case arrived <- check:
			case <-ctx.Done():
			}
		})
	}
}

// collectReports returns the reports that arrive within reportWait, or until none is outstanding.
func (s *Service) collectReports(ctx context.Context) []engineCheck {
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	var checks []engineCheck
	for len(s.outstanding) > 0 {
		select {
		case check := <-s.arrived:
			s.countArrived(check.job)
			s.recordReportTime(&check)
			checks = append(checks, check)
		case <-timer.C:
			return checks
		case <-ctx.Done():
			return checks
		}
	}
	return checks
}

// countArrived counts a report of a job that arrived or failed.
func (s *Service) countArrived(j *job) {
	s.outstanding[j]--
	if s.outstanding[j] == 0 {
		delete(s.outstanding, j)
	}
}

// recordReportTime records how long a report took. A report that was given up takes longer than that.
func (s *Service) recordReportTime(check *engineCheck) {
	id := check.member.ID
	if check.err == nil {
		s.reportTimes[id] = check.took
		return
	}
	s.reportTimes[id] = max(s.reportTimes[id], check.took)
}

package weights

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// reportInterval is the minimum time between two reports of an engine with a job. Reports cost
	// resources and may be a few hundred ms old.
	reportInterval = 120 * time.Millisecond
	// minConcurrentLoads is the number of engines that load concurrently in a small fleet. More
	// would slow each other down.
	minConcurrentLoads = 2
	// loadDivisor determines the part of a large fleet that loads concurrently: a fifth. With an
	// eighth, the update of 112 engines would take 13 s, close to the limit of 15 s.
	loadDivisor = 5
	// drainTime is the time during which an engine gets no new long runs before it is ordered to
	// load. Runs last 1.5 s on average and up to 6 s. Runs still active then continue with the new
	// weights, which reduces their value. Waiting for them would leave the engine idle.
	drainTime = 800 * time.Millisecond
	// closeBeforeOrder is the time before the order from which an engine gets no requests at all, so
	// that all nodes have received the announcement.
	closeBeforeOrder = 200 * time.Millisecond
	// orderRetryTime is the time after which an order without effect is repeated. By then the order's
	// timeout of 500 ms has passed and reports, which are about 200 ms old, show whether it was
	// accepted. An engine that receives the first order late rejects it because of Order.Expected.
	orderRetryTime = 700 * time.Millisecond
	// assumedReportAge is the assumed age of a report that contains older weights than are recorded for
	// the engine.
	assumedReportAge = 500 * time.Millisecond
	// jobTimeout is the time after which an engine that has not reached the requested version is
	// postponed in favor of another, plus the time that its reports take.
	jobTimeout = 6 * time.Second
)

func randomInt(n int64) int64 { return rand.Int64N(n) }

// job is the update of an engine to a version. It applies to one process of the engine, from one start
// to the next.
type job struct {
	model       string
	startedMs   int64 // start time of the engine process, Unix milliseconds; 0 if unknown
	version     int64
	maxLoads    int // maximum number of engines of the fleet that load concurrently
	startedAt   time.Time
	closedAt    time.Time     // time of the first report, from which the engine is announced as closed; zero before
	orderedAt   time.Time     // time of the latest order; zero if there is none
	idle        *engineCheck  // latest report; nil while the engine executes an order or may have received one
	nextCheckAt time.Time     // earliest time of the next check
	reportOf    time.Time     // time at which the latest report was requested; zero if there is none
	startedRun  time.Duration // reading of Service.run at the start
	reportedRun time.Duration // reading of Service.run at the latest report, or at the start
}

// concurrency returns the maximum number of engines that load concurrently and of jobs. In
// addition to the loading engines, half as many may be drained.
func concurrency(engines int) (maxLoads, maxJobs int) {
	maxLoads = max(minConcurrentLoads, engines/loadDivisor)
	return maxLoads, maxLoads + (maxLoads+1)/2
}

// engineCheck is an engine with its job and its report.
type engineCheck struct {
	member      *fleet.Member
	job         *job
	requestedAt time.Time
	took        time.Duration // until the report arrived or failed
	report      Report
	err         error
}

// step checks the engines once and sends the orders that are ready. It reads the claim after the reports have arrived,
// as an earlier claim may have expired by then. Without a valid claim it begins no jobs and sends no orders, but keeps
// track of engines that load.
func (s *Service) step(ctx context.Context, held *atomic.Pointer[claim.Claim]) {
	s.countRun()
	members := s.Fleet.All()
	if held.Load().Valid(orderTimeout) {
		s.startAllJobs(members)
	} else {
		s.reopen(held.Load())
	}
	s.announce()
	s.requestReports(s.nextChecks(members))
	checks := s.collectReports(ctx)
	current := held.Load()
	mayOrder := current.Valid(orderTimeout)
	s.holding.Store(mayOrder)
	for i := range checks {
		s.updateJob(&checks[i])
	}
	s.announce()
	if mayOrder {
		s.sendOrders(ctx, current, s.readyJobs())
	}
}

// startAllJobs adds jobs for the outdated engines of all models.
func (s *Service) startAllJobs(members []*fleet.Member) {
	for _, model := range s.Wanted.Models() {
		version, _ := s.Wanted.Wanted(model)
		serving := countServing(members, model)
		s.startJobs(s.reached(Outdated(members, model, version)), model, version, serving)
	}
}

func countServing(members []*fleet.Member, model string) int {
	n := 0
	for _, m := range members {
		if knownVersion(m, model) > 0 {
			n++
		}
	}
	return n
}

// nextChecks returns the engines to check now. It deletes the jobs of engines that were removed or
// restarted, and postpones engines whose jobs take too long.
func (s *Service) nextChecks(members []*fleet.Member) []engineCheck {
	var checks []engineCheck
	now := s.Clock.Now()
	for id, j := range s.jobs {
		m := findMember(members, id)
		if m == nil || j.startedMs < m.StartedMs {
			delete(s.jobs, id)
			continue
		}
		if reason, postponed := s.postponeReason(id, j); postponed {
			s.postpone(m, j, reason)
			continue
		}
		if now.Before(j.nextCheckAt) || s.outstanding[j] >= maxOutstanding {
			continue
		}
		j.nextCheckAt = now.Add(reportInterval)
		checks = append(checks, engineCheck{member: m, job: j})
	}
	return checks
}

// announce updates the list of engines that are draining or loading, which is sent to other nodes.
func (s *Service) announce() {
	closed := make([]Closed, 0, len(s.jobs))
	for id, j := range s.jobs {
		if j.closedAt.IsZero() {
			continue
		}
		rejecting := !j.orderedAt.IsZero() || s.Clock.Since(j.closedAt) > drainTime-closeBeforeOrder
		closed = append(closed, Closed{Endpoint: id, Loads: rejecting})
	}
	s.closed.Store(&closed)
}

func findMember(members []*fleet.Member, id string) *fleet.Member {
	i := slices.IndexFunc(members, func(m *fleet.Member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return members[i]
}

// startJobs adds jobs up to the maximum number of concurrent jobs. Postponed engines come after the
// others.
func (s *Service) startJobs(list []*fleet.Member, model string, version int64, engines int) {
	maxLoads, maxJobs := concurrency(engines)
	for _, m := range list {
		if j, exists := s.jobs[m.ID]; exists && j.model == model {
			j.version, j.maxLoads = version, maxLoads
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Member) int { return s.postponed[a.ID].Compare(s.postponed[b.ID]) })
	for _, m := range list {
		if len(s.jobs) >= maxJobs {
			return
		}
		if _, exists := s.jobs[m.ID]; !exists {
			now := s.Clock.Now()
			s.jobs[m.ID] = &job{model: model, startedMs: m.StartedMs, version: version, maxLoads: maxLoads, startedAt: now, startedRun: s.run, reportedRun: s.run}
		}
	}
}

// updateJob evaluates an engine's report.
func (s *Service) updateJob(check *engineCheck) {
	m, j, report := check.member, check.job, &check.report
	if s.jobs[m.ID] != j {
		return
	}
	if check.err != nil {
		s.Log.Warn().Str("event", "report_failed").Str("endpoint", m.ID).AnErr("error", check.err).Send()
		return
	}
	if !j.matchesProcess(report) || check.requestedAt.Before(j.reportOf) {
		return
	}
	j.reportedRun, j.reportOf = s.run, check.requestedAt
	reported := report.VersionOf(j.model)
	s.recordVersion(check, reported)
	if reported >= j.version {
		delete(s.jobs, m.ID)
		s.Log.Info().Str("event", "weights_loaded").Str("endpoint", m.ID).Int64("born", j.startedMs).Int64("version", reported).
			Dur("took_ms", s.Clock.Since(j.startedAt)).Send()
		return
	}
	if j.closedAt.IsZero() {
		j.closedAt = s.Clock.Now()
	}
	j.idle = nil
	if report.Busy || check.requestedAt.Sub(j.orderedAt) < orderRetryTime {
		return
	}
	j.idle = check
}

// readyJobs returns the engines that must be ordered to load now and counts them among the loading engines. An order
// without effect is repeated; its engine was counted before.
func (s *Service) readyJobs() []engineCheck {
	var ready []engineCheck
	loading := s.countLoading()
	for _, j := range s.jobs {
		isRepeated := !j.orderedAt.IsZero()
		if !s.isReported(j) || !isRepeated && loading >= j.maxLoads || !s.isDrained(j) {
			continue
		}
		if !isRepeated {
			loading++
		}
		ready = append(ready, *j.idle)
		j.idle, j.orderedAt = nil, s.Clock.Now()
	}
	return ready
}

// isReported reports whether an engine is known to be idle by a report that came in this step, or by the one before
// while the next takes long.
func (s *Service) isReported(j *job) bool {
	if j.idle == nil {
		return false
	}
	return j.reportedRun == s.run || s.outstanding[j] > 0 && !s.Clock.Now().Before(j.nextCheckAt)
}

// isDrained reports whether an engine was closed for long enough, or is empty as of a report that has just come.
func (s *Service) isDrained(j *job) bool {
	closed := s.Clock.Since(j.closedAt)
	if closed >= drainTime {
		return true
	}
	report := &j.idle.report
	isRecent := s.Clock.Since(j.idle.requestedAt) < 2*reportInterval
	return isRecent && report.Running+report.Waiting == 0 && closed > closeBeforeOrder
}

// matchesProcess reports whether the report may come from the engine process that the job applies to.
// A restarted engine appears in the registry with its new start time and gets its own job.
func (j *job) matchesProcess(report *Report) bool {
	return report.StartedMs == j.startedMs || report.StartedMs == 0 || j.startedMs == 0
}

// recordVersion records the version that the engine reported, which may be older than the recorded
// one.
func (s *Service) recordVersion(check *engineCheck, version int64) {
	if version == 0 {
		return // not reported
	}
	update := fleet.WeightsReport{Weights: fleet.Weights{Model: check.job.model, Version: version}, StartedMs: check.report.StartedMs, At: check.requestedAt}
	if version < check.member.VersionOf(update.Model) {
		update.At = update.At.Add(-assumedReportAge)
	}
	check.member.RecordWeights(update)
}

// countLoading returns the number of engines that were ordered to load and have not finished.
func (s *Service) countLoading() int {
	n := 0
	for _, j := range s.jobs {
		if !j.orderedAt.IsZero() {
			n++
		}
	}
	return n
}

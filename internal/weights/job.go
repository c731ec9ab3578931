package weights

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
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
	// postponed in favor of another.
	jobTimeout = 6 * time.Second
	// reportTimeout is the timeout of a report, which normally takes a few ms. A check of all engines
	// waits for the slowest report.
	reportTimeout = 250 * time.Millisecond
	// silentTimeout is the time after which an engine that does not report, and has no order yet, is
	// postponed in favor of another. With jobTimeout alone, one silent engine of nine would delay the
	// others beyond the operators' time limit.
	silentTimeout = time.Second
)

func randomInt(n int64) int64 { return rand.Int64N(n) }

// job is the update of an engine to a version. It applies to one process of the engine, from one start
// to the next.
type job struct {
	model        string
	startedMs    int64 // start time of the engine process, Unix milliseconds; 0 if unknown
	version      int64
	maxLoads     int // maximum number of engines of the fleet that load concurrently
	startedAt    time.Time
	orderedAt    time.Time // time of the latest order; zero if there is none or it had no effect
	nextCheckAt  time.Time // earliest time of the next check
	lastReportAt time.Time // time of the latest report
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
	report      Report
	err         error
}

// step checks the engines once and sends the orders that are ready. It returns false if the claim is
// lost. It reads the claim after the reports have arrived, because an engine that does not report
// delays the step by the report timeout and an earlier claim may have expired by then.
func (s *Service) step(ctx context.Context, held *atomic.Pointer[claim.Claim]) bool {
	members := s.Fleet.All()
	for _, model := range s.Wanted.Models() {
		version, _ := s.Wanted.Wanted(model)
		serving := countServing(members, model)
		s.startJobs(s.reached(Outdated(members, model, version)), model, version, serving)
	}
	s.announce()
	checks := s.nextChecks(members)
	s.fetchReports(ctx, checks)
	s.sendOrders(ctx, held.Load(), slices.DeleteFunc(checks, func(check engineCheck) bool { return !s.updateJob(&check) }))
	return !s.claimLost.Load()
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
		if now.Sub(j.startedAt) > jobTimeout || j.orderedAt.IsZero() && now.Sub(j.lastReportAt) > silentTimeout {
			s.postpone(m, j, now)
			continue
		}
		if now.Before(j.nextCheckAt) {
			continue
		}
		j.nextCheckAt = now.Add(reportInterval)
		checks = append(checks, engineCheck{member: m, job: j})
	}
	return checks
}

// fetchReports requests the reports of all engines concurrently, so that a silent engine does not
// delay the others.
func (s *Service) fetchReports(ctx context.Context, checks []engineCheck) {
	var wg sync.WaitGroup
	for i := range checks {
		check := &checks[i]
		check.requestedAt = s.Clock.Now()
		wg.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			check.report, check.err = s.Engines.Report(bounded, check.member.Endpoint())
		})
	}
	wg.Wait()
}

// announce updates the list of engines that are draining or loading, which is sent to other nodes.
func (s *Service) announce() {
	closed := make([]Closed, 0, len(s.jobs))
	for id, j := range s.jobs {
		rejecting := !j.orderedAt.IsZero() || s.Clock.Since(j.startedAt) > drainTime-closeBeforeOrder
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
			s.jobs[m.ID] = &job{model: model, startedMs: m.StartedMs, version: version, maxLoads: maxLoads, startedAt: now, lastReportAt: now}
		}
	}
}

// updateJob evaluates an engine's report. It returns true if the engine must be ordered to load now,
// and then counts it among the loading engines.
func (s *Service) updateJob(check *engineCheck) bool {
	m, j, report := check.member, check.job, &check.report
	if check.err != nil {
		s.Log.Warn().Str("event", "report_failed").Str("endpoint", m.ID).AnErr("error", check.err).Send()
		return false
	}
	if !j.matchesProcess(report) {
		return false
	}
	j.lastReportAt = check.requestedAt
	reported := report.VersionOf(j.model)
	s.recordVersion(check, reported)
	if reported >= j.version {
		delete(s.jobs, m.ID)
		s.Log.Info().Str("event", "weights_loaded").Str("endpoint", m.ID).Int64("born", j.startedMs).Int64("version", reported).
			Dur("took_ms", s.Clock.Since(j.startedAt)).Send()
		return false
	}
	if report.Busy || s.Clock.Since(j.orderedAt) < orderRetryTime {
		return false
	}
	j.orderedAt = time.Time{} // an order without effect is repeated
	if s.countLoading() >= j.maxLoads {
		return false
	}
	empty := report.Running+report.Waiting == 0 && s.Clock.Since(j.startedAt) > closeBeforeOrder
	if !empty && s.Clock.Since(j.startedAt) < drainTime {
		return false
	}
	j.orderedAt = s.Clock.Now()
	return true
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

// sendOrders sends orders without waiting for the responses; the next check of an engine shows
// whether its order was accepted.
//
// Sending orders one after the other would let an unanswered order delay the next one by its timeout
// of 500 ms. Waiting for concurrent orders would delay the next check of all engines.
func (s *Service) sendOrders(ctx context.Context, held *claim.Claim, checks []engineCheck) {
	for i := range checks {
		check := &checks[i]
		s.lastOrderAt = s.Clock.Now()
		order := s.orderFor(held, check)
		at := target{endpoint: check.member.Endpoint(), startedMs: check.job.startedMs}
		s.inFlight.Go(func() { s.sendOrder(ctx, held, at, order) })
	}
}

// target is the engine process that an order is sent to.
type target struct {
	endpoint  *fleet.Endpoint
	startedMs int64
}

// orderFor returns the order to load the version of an engine's job.
func (s *Service) orderFor(held *claim.Claim, check *engineCheck) Order {
	return Order{
		Model: check.job.model, Version: check.job.version, Holder: s.Node,
		// Claim tokens start at 0, but engines treat 0 as no token.
		Token: held.Token() + 1, Expected: check.report.Orders, Continue: check.report.Running > 0,
	}
}

// sendOrder sends one order and sets claimLost if the claim is lost.
func (s *Service) sendOrder(ctx context.Context, held *claim.Claim, at target, o Order) {
	bounded, cancel, err := held.Order(ctx)
	if err != nil {
		s.claimLost.Store(true)
		return
	}
	defer cancel()
	reply, err := s.Engines.Order(bounded, at.endpoint, o)
	s.Log.Info().Str("event", "order").Str("endpoint", at.endpoint.ID).Int64("born", at.startedMs).Str("model", o.Model).Int64("version", o.Version).
		Int64("token", o.Token).Int64("expected", o.Expected).Str("reply", reply.String()).AnErr("error", err).Send()
	if reply == Fenced {
		s.claimLost.Store(true)
	}
}

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
	// reportPause is the time between two reports of an engine that loads. Reports
	// are priced, and some hundred ms old.
	reportPause = 120 * time.Millisecond
	// fewestLoads is the number of engines of a small fleet that load at the same time;
	// more slow each other down.
	fewestLoads = 2
	// loadShare is the part of a large fleet that loads at the same time: a fifth, as
	// the operators state it for 9, 90 and 112 engines. With an eighth 112 engines take
	// 13 s, of the bound's 15.
	loadShare = 5
	// emptyTime is how long an engine gets no new long runs before it is ordered to
	// load. Runs last 1.5 s on average and up to 6 s; those that are left then go on
	// with the new weights and lose a part of their worth, where waiting for them
	// would cost the engine's whole service.
	emptyTime = 800 * time.Millisecond
	// closedEarly is how long before the order an engine gets no requests at all,
	// so that all nodes have heard of it.
	closedEarly = 200 * time.Millisecond
	// lostOrder is how long an order without an answer may still be taken before
	// it is given again; what comes later is refused by its expected number. By then the
	// order's own timeout of 500 ms has passed, and a report, some 200 ms old, tells of it.
	lostOrder = 700 * time.Millisecond
	// reportAge is how old a report may be that names older weights than are believed.
	reportAge = 500 * time.Millisecond
	// jobTimeout is when an engine that doesn't come to the wanted version makes
	// room for another.
	jobTimeout = 6 * time.Second
	// reportTimeout bounds a report, which takes some ms: all looks wait for the slowest one.
	reportTimeout = 250 * time.Millisecond
	// muteTime is how long an engine that was not ordered yet may fail to report before it makes
	// room for another: with jobTimeout alone one silent engine of nine holds the others up beyond
	// the operators' bound.
	muteTime = time.Second
)

func randomInt(n int64) int64 { return rand.Int64N(n) }

// job is one start of an engine that is being brought to a version.
type job struct {
	model     string
	startedMs int64 // start of the engine, 0 if not said
	version   int64
	loads     int // engines of the fleet that may load at the same time
	begun     time.Time
	ordered   time.Time // zero before an order was given
	nextAt    time.Time // of the next look
	heard     time.Time // of the newest report
}

// atOnce returns the number of engines that load at the same time, and the number of
// jobs: half as many are emptied meanwhile.
func atOnce(engines int) (loads, jobs int) {
	loads = max(fewestLoads, engines/loadShare)
	return loads, loads + (loads+1)/2
}

// look is an engine with its job, and what the engine reports.
type look struct {
	member *fleet.Member
	job    *job
	asked  time.Time
	report Report
	err    error
}

// step looks at the engines once. It reports false where the claim is lost. Orders go by the claim
// as it is after the reports: the one before may be over, as an engine that doesn't report takes as
// long as the call's timeout.
func (s *Service) step(ctx context.Context, held *atomic.Pointer[claim.Claim]) bool {
	members := s.Fleet.All()
	for _, model := range s.Wanted.Models() {
		version, _ := s.Wanted.Wanted(model)
		serving := countServing(members, model)
		s.begin(Behind(members, model, version), model, version, serving)
	}
	s.announce()
	looks := s.due(members)
	s.ask(ctx, looks)
	s.give(ctx, held.Load(), slices.DeleteFunc(looks, func(l look) bool { return !s.advance(&l) }))
	return !s.lost.Load()
}

func countServing(members []*fleet.Member, model string) int {
	n := 0
	for _, m := range members {
		if m.VersionOf(model) > 0 {
			n++
		}
	}
	return n
}

// due returns the engines that are to be looked at now, and drops jobs of engines that
// are gone or take too long.
func (s *Service) due(members []*fleet.Member) []look {
	var looks []look
	now := s.Clock.Now()
	for id, j := range s.jobs {
		m := find(members, id)
		if m == nil || j.startedMs < m.StartedMs {
			delete(s.jobs, id)
			continue
		}
		if now.Sub(j.begun) > jobTimeout || j.ordered.IsZero() && now.Sub(j.heard) > muteTime {
			delete(s.jobs, id)
			s.passed[id] = now
			continue
		}
		if now.Before(j.nextAt) {
			continue
		}
		j.nextAt = now.Add(reportPause)
		looks = append(looks, look{member: m, job: j})
	}
	return looks
}

// ask has all engines report at the same time, so that one that is silent holds up no
// other.
func (s *Service) ask(ctx context.Context, looks []look) {
	var wg sync.WaitGroup
	for i := range looks {
		l := &looks[i]
		l.asked = s.Clock.Now()
		wg.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			l.report, l.err = s.Engines.Report(bounded, l.member.Endpoint())
		})
	}
	wg.Wait()
}

// announce lets other nodes know which engines are being emptied and loaded.
func (s *Service) announce() {
	closed := make([]Closed, 0, len(s.jobs))
	for id, j := range s.jobs {
		loads := !j.ordered.IsZero() || s.Clock.Since(j.begun) > emptyTime-closedEarly
		closed = append(closed, Closed{Endpoint: id, Loads: loads})
	}
	s.closed.Store(&closed)
}

func find(members []*fleet.Member, id string) *fleet.Member {
	i := slices.IndexFunc(members, func(m *fleet.Member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return members[i]
}

// begin adds jobs up to the number that may run at once. Engines whose jobs came to nothing come
// behind the others.
func (s *Service) begin(list []*fleet.Member, model string, version int64, engines int) {
	loads, jobs := atOnce(engines)
	for _, m := range list {
		if j, under := s.jobs[m.ID]; under && j.model == model {
			j.version, j.loads = version, loads
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Member) int { return s.passed[a.ID].Compare(s.passed[b.ID]) })
	for _, m := range list {
		if len(s.jobs) >= jobs {
			return
		}
		if _, under := s.jobs[m.ID]; !under {
			now := s.Clock.Now()
			s.jobs[m.ID] = &job{model: model, startedMs: m.StartedMs, version: version, loads: loads, begun: now, heard: now}
		}
	}
}

// advance takes one engine a step on. It reports whether the engine is to be ordered to load
// now, and counts it among those that load.
func (s *Service) advance(l *look) bool {
	m, j, report := l.member, l.job, &l.report
	if l.err != nil {
		s.Log.Warn().Str("event", "report_failed").Str("endpoint", m.ID).AnErr("error", l.err).Send()
		return false
	}
	if !j.concerns(report) {
		return false
	}
	j.heard = l.asked
	has := report.VersionOf(j.model)
	s.believe(l, has)
	if has >= j.version {
		delete(s.jobs, m.ID)
		s.Log.Info().Str("event", "weights_loaded").Str("endpoint", m.ID).Int64("born", j.startedMs).Int64("version", has).
			Dur("took_ms", s.Clock.Since(j.begun)).Send()
		return false
	}
	if report.Busy || s.Clock.Since(j.ordered) < lostOrder {
		return false
	}
	j.ordered = time.Time{} // an order without effect is given again
	if s.loads() >= j.loads {
		return false
	}
	empty := report.Running+report.Waiting == 0 && s.Clock.Since(j.begun) > closedEarly
	if !empty && s.Clock.Since(j.begun) < emptyTime {
		return false
	}
	j.ordered = s.Clock.Now()
	return true
}

// concerns reports whether the report is of the start that the job is for. One that came since is
// in the registry soon, and gets a job of its own.
func (j *job) concerns(report *Report) bool {
	return report.StartedMs == j.startedMs || report.StartedMs == 0 || j.startedMs == 0
}

// believe notes the version that the engine reported, which may be older than it was believed
// to have.
func (s *Service) believe(l *look, version int64) {
	if version == 0 {
		return // it doesn't say
	}
	said := fleet.WeightsReport{Weights: fleet.Weights{Model: l.job.model, Version: version}, StartedMs: l.report.StartedMs, At: l.asked}
	if version < l.member.VersionOf(said.Model) {
		said.At = said.At.Add(-reportAge)
	}
	l.member.RecordWeights(said)
}

// loads returns the number of engines that were ordered to load and have not done so.
func (s *Service) loads() int {
	n := 0
	for _, j := range s.jobs {
		if !j.ordered.IsZero() {
			n++
		}
	}
	return n
}

// give gives orders, and waits for no answer: the next look at an engine tells what became of
// its own.
//
// One after the other, an order that nobody answers held up the next by its timeout of 500 ms;
// side by side but waited for, it held up the next look at all engines.
func (s *Service) give(ctx context.Context, held *claim.Claim, looks []look) {
	for i := range looks {
		l := &looks[i]
		s.ordered = s.Clock.Now()
		order := s.orderFor(held, l)
		at := target{endpoint: l.member.Endpoint(), startedMs: l.job.startedMs}
		s.underWay.Go(func() { s.order(ctx, held, at, order) })
	}
}

// target is the start of an engine that an order goes to.
type target struct {
	endpoint  *fleet.Endpoint
	startedMs int64
}

// orderFor returns the order that brings an engine to the version of its job.
func (s *Service) orderFor(held *claim.Claim, l *look) Order {
	return Order{
		Model: l.job.model, Version: l.job.version, Holder: s.Node,
		// Tokens begin at 0 in the log, which engines read as none.
		Token: held.Token() + 1, Expected: l.report.Orders, Continue: l.report.Running > 0,
	}
}

// order gives one order. It notes where the claim is lost.
func (s *Service) order(ctx context.Context, held *claim.Claim, at target, o Order) {
	bounded, cancel, err := held.Order(ctx)
	if err != nil {
		s.lost.Store(true)
		return
	}
	defer cancel()
	reply, err := s.Engines.Order(bounded, at.endpoint, o)
	s.Log.Info().Str("event", "order").Str("endpoint", at.endpoint.ID).Int64("born", at.startedMs).Str("model", o.Model).Int64("version", o.Version).
		Int64("token", o.Token).Int64("expected", o.Expected).Str("reply", reply.String()).AnErr("error", err).Send()
	if reply == Fenced {
		s.lost.Store(true)
	}
}

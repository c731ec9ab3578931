package weights

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// reportPause is the time between two reports of an engine that loads. Reports
	// are priced, and some hundred ms old.
	reportPause = 120 * time.Millisecond
	// maxJobs is the number of engines that are emptied or load at the same time.
	// With more the rest can't read the prompts that are kept nowhere under the new
	// version yet.
	maxJobs = 3
	// maxLoads is the number of engines that load at the same time; more than two
	// slow each other down. One is emptied meanwhile.
	maxLoads = 2
	// emptyTime is how long an engine gets no new long runs before it is ordered to
	// load. Runs last 1.5 s on average and up to 6 s; those that are left then go on
	// with the new weights and lose a part of their worth, where waiting for them
	// would cost the engine's whole service.
	emptyTime = 800 * time.Millisecond
	// closedEarly is how long before the order an engine gets no requests at all,
	// so that all nodes have heard of it.
	closedEarly = 200 * time.Millisecond
	// lostOrder is how long an order without an answer may still be taken before
	// it is given again; what comes later is refused by its expected number.
	lostOrder = time.Second
	// jobTimeout is when an engine that doesn't come to the wanted version makes
	// room for another.
	jobTimeout = 6 * time.Second
)

func randomInt(n int64) int64 { return rand.Int64N(n) }

// job is one engine that is being brought to a version.
type job struct {
	model   string
	version int64
	begun   time.Time
	ordered time.Time // zero before an order was given
	nextAt  time.Time // of the next look
}

// step looks at the engines once. It reports false where the claim is lost.
func (s *Service) step(ctx context.Context, held *claim.Claim) bool {
	members := s.fleet.All()
	for _, model := range s.wanted.Models() {
		version, _ := s.wanted.Wanted(model)
		s.begin(Behind(members, model, version), model, version)
	}
	s.announce()
	for id, j := range s.jobs {
		m := find(members, id)
		if m == nil || time.Since(j.begun) > jobTimeout {
			delete(s.jobs, id)
			continue
		}
		if time.Now().Before(j.nextAt) {
			continue
		}
		j.nextAt = time.Now().Add(reportPause)
		if !s.advance(ctx, held, m, j) {
			return false
		}
	}
	return true
}

// announce lets other nodes know which engines are being emptied and loaded.
func (s *Service) announce() {
	closed := make([]Closed, 0, len(s.jobs))
	for id, j := range s.jobs {
		loads := !j.ordered.IsZero() || time.Since(j.begun) > emptyTime-closedEarly
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

// begin adds jobs up to the number that may run at once.
func (s *Service) begin(list []*fleet.Member, model string, version int64) {
	for _, m := range list {
		if j, under := s.jobs[m.ID]; under {
			j.version = version
		}
	}
	for _, m := range list {
		if len(s.jobs) >= maxJobs {
			return
		}
		if _, under := s.jobs[m.ID]; !under {
			s.jobs[m.ID] = &job{model: model, version: version, begun: time.Now()}
		}
	}
}

// advance takes one engine a step on. It reports false where the claim is lost.
func (s *Service) advance(ctx context.Context, held *claim.Claim, m *fleet.Member, j *job) bool {
	at := m.Endpoint()
	report, err := s.engines.Report(ctx, at)
	if err != nil {
		s.log.Warn().Str("event", "report_failed").Str("endpoint", m.ID).AnErr("error", err).Send()
		return true
	}
	if has := report.VersionOf(j.model); has >= j.version {
		m.SawVersion(j.model, has)
		delete(s.jobs, m.ID)
		s.log.Info().Str("event", "weights_loaded").Str("endpoint", m.ID).Int64("version", has).
			Dur("took_ms", time.Since(j.begun)).Send()
		return true
	}
	if report.Busy || time.Since(j.ordered) < lostOrder {
		return true
	}
	j.ordered = time.Time{} // an order without effect is given again
	if s.loads() >= maxLoads {
		return true
	}
	empty := report.Running+report.Waiting == 0 && time.Since(j.begun) > closedEarly
	if !empty && time.Since(j.begun) < emptyTime {
		return true
	}
	return s.order(ctx, held, m, j, &report)
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

func (s *Service) order(ctx context.Context, held *claim.Claim, m *fleet.Member, j *job, report *Report) bool {
	bounded, cancel, err := held.Order(ctx)
	if err != nil {
		return false
	}
	defer cancel()
	j.ordered = time.Now()
	// Tokens begin at 0 in the log, which engines read as none.
	order := Order{Model: j.model, Version: j.version, Holder: s.node, Token: held.Token() + 1, Expected: report.Orders, Continue: report.Running > 0}
	reply, err := s.engines.Order(bounded, m.Endpoint(), order)
	s.log.Info().Str("event", "order").Str("endpoint", m.ID).Str("model", j.model).Int64("version", j.version).
		Int64("token", order.Token).Int64("expected", order.Expected).Str("reply", reply.String()).AnErr("error", err).Send()
	return reply != Fenced
}

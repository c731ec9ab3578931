package policybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache/policy"
	"github.com/cherryward/cherryward/internal/placement"
)

// job is a turn in flight.
type job struct {
	turn     *turn
	id       string
	attempt  int
	served   bool // the first token was received
	tail     *tail
	head     int // leading blocks of the import that the engine computes instead
	finished bool
	owner    *owner     // owner at which it waits for a grant
	imp      *blockMove // import in progress
}

// system is one run of the benchmark: one policy, one workload, one fault.
type system struct {
	clock
	profile *Profile
	policy  Policy
	rng     *rand.Rand
	engines []*engine
	owners  [][]*owner // by home node, then engine; a single row without home nodes
	audit   audit
	stores  []*store
	returns *policy.Returns
	jobs    map[string]*job
	stats   *stats
	next    int   // round robin
	reports []int // waiting prompt tokens in the engines' last load reports
}

func newSystem(p *Profile, pol Policy, seed uint64, h Horizon) *system {
	s := &system{
		profile: p, policy: pol, rng: rand.New(rand.NewPCG(seed, 2)),
		returns: policy.NewReturns(), jobs: make(map[string]*job), stats: newStats(h),
		audit: audit{granted: make(map[*engine]int), reported: make(map[string]bool)},
	}
	for i := range oldEngines + newEngines {
		e := newEngine(&s.clock, engineRate(i), p.MaxRunning, s.stats.computed)
		s.engines = append(s.engines, e)
	}
	for range max(1, pol.homes) {
		var row []*owner
		for i, e := range s.engines {
			row = append(row, newOwner(s, i, e))
		}
		s.owners = append(s.owners, row)
	}
	for i := range storeCount {
		s.stores = append(s.stores, newStore(s, i))
	}
	s.reports = make([]int, len(s.engines))
	s.stats.at = func() time.Duration { return s.at }
	s.after(reportEvery, s.report)
	return s
}

// ownersFor returns the owners, one per engine, that estimate and grant a turn's run.
func (s *system) ownersFor(t *turn) []*owner { return s.owners[t.conv.id%len(s.owners)] }

// moved counts bytes moved over the links.
func (s *system) moved(bytes float64) {
	s.audit.moved += bytes
	s.stats.moved(bytes)
}

// report updates the engines' load reports.
func (s *system) report() {
	s.after(reportEvery, s.report)
	for i, e := range s.engines {
		s.reports[i] = e.waitingTokens
	}
	if s.policy.homes == 0 {
		return
	}
	for _, row := range s.owners {
		for _, o := range row {
			o.reportLoad()
		}
	}
}

// arrive handles a turn from its caller.
func (s *system) arrive(t *turn) {
	s.stats.arrived(t)
	t.conv.latest = t
	if t.number > 0 {
		s.returns.ObserveReturn(accountName(t.conv.account), t.gap, s.now())
	}
	s.send(&job{turn: t})
}

// send places a job, for the first time or again after a failure. It sheds a job whose time limit has
// passed.
func (s *system) send(j *job) {
	if j.finished || s.at > j.turn.at+timeLimit {
		s.shed(j)
		return
	}
	j.attempt++
	j.id = strconv.Itoa(j.turn.conv.id) + "/" + strconv.Itoa(j.turn.number) + "/" + strconv.Itoa(j.attempt)
	if s.policy.pick != nil {
		e := s.engines[s.policy.pick(s, j.turn)]
		s.after(hop, func() { e.start(s.attempt(j, nil)) })
		return
	}
	s.after(2*hop, func() { s.place(j) })
}

func (s *system) shed(j *job) {
	if !j.finished {
		j.finished = true
		j.turn.answers++
		s.stats.shed(j.turn)
	}
}

// attempt returns a run of a job; o is the owner that granted it, or nil without owners.
func (s *system) attempt(j *job, o *owner) *run {
	r := &run{id: j.id, turn: j.turn, deadline: epoch.Add(j.turn.at + timeLimit)}
	r.onFirst = func() {
		if !j.served {
			j.served = true
			s.stats.recordFirstToken(j.turn, s.at+hop-j.turn.at)
		}
		if o != nil {
			s.after(hop, func() { o.recordFirstToken(r) })
		}
	}
	r.onEnd = func(ok bool) {
		if o != nil {
			s.after(hop, func() { o.release(r, ok) })
		}
		if !ok {
			s.after(hop, func() { s.send(j) })
			return
		}
		j.finished = true
		j.turn.answers++
	}
	return r
}

// place chooses an endpoint by the owners' estimates and requests a grant from its owner.
func (s *system) place(j *job) {
	req := placement.Request{
		PromptTokens: j.turn.prompt,
		TimeLeft:     j.turn.at + timeLimit - s.at,
		Weights:      s.profile.Objective,
	}
	owners := s.ownersFor(j.turn)
	engines := make([]placement.EngineEstimate, len(owners))
	for i, o := range owners {
		engines[i] = o.estimate(j)
	}
	placement.FillUnknownRates(engines)
	var held []placement.StoreEstimate
	if s.policy.export != nil {
		for _, st := range s.stores {
			held = append(held, st.estimate(j.turn))
		}
	}
	choice, err := placement.Place(req, engines, held, s.rng)
	if err != nil {
		s.after(time.Second, func() { s.send(j) })
		return
	}
	i, _ := strconv.Atoi(choice.Endpoint)
	if s.policy.importAlways {
		choice.Import = fullImport(choice, held)
	}
	j.head, j.tail = 0, nil
	if s.policy.overlap {
		j.head = s.splitImport(choice, engines[i], held)
	}
	s.after(hop, func() { owners[i].request(j, choice) })
}

// Run simulates a workload under a policy and returns the measurements.
func Run(c Case, seed uint64, h Horizon) Result {
	p := c.Profile
	if c.Fault == Overload {
		p.Conversations *= overloadFactor
	}
	s := newSystem(&p, c.Policy, seed, h)
	s.after(h.Warmup+faultAt, func() { s.inject(c.Fault) })
	return s.simulate(c.Name(), workload(&p, h.End, seed), h.End)
}

// simulate runs the turns until end and audits the run.
func (s *system) simulate(name string, turns []*turn, end time.Duration) Result {
	for _, t := range turns {
		s.after(t.at, func() { s.arrive(t) })
	}
	s.run(end)
	s.audit.check(s, turns)
	r := s.stats.result(name)
	r.Violations = s.audit.violations
	return r
}

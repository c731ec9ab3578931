package policybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache/policy"
	"github.com/cherryward/cherryward/internal/placement"
)

// job is a turn on its way through the system.
type job struct {
	turn    *turn
	id      string
	attempt int
	served  bool // the first token came
	tail    *tail
	head    int // blocks of the import that the engine computes instead
	over    bool
	owner   *owner // where it waits for a grant
	imp     *mover // its import under way
}

// system is one run of the benchmark: one policy, one workload, one fault.
type system struct {
	clock
	profile *Profile
	policy  Policy
	rng     *rand.Rand
	engines []*engine
	owners  [][]*owner // of each engine, for each home node or only one
	audit   audit
	stores  []*store
	returns *policy.Returns
	jobs    map[string]*job
	stats   *stats
	next    int   // round robin
	reports []int // waiting prompt tokens by the engines' last load reports
}

func newSystem(p *Profile, pol Policy, seed uint64, h Horizon) *system {
	s := &system{
		profile: p, policy: pol, rng: rand.New(rand.NewPCG(seed, 2)),
		returns: policy.NewReturns(), jobs: make(map[string]*job), stats: newStats(h),
		audit: audit{granted: make(map[*engine]int), told: make(map[string]bool)},
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
	for i := range stores {
		s.stores = append(s.stores, newStore(s, i))
	}
	s.reports = make([]int, len(s.engines))
	s.stats.at = func() time.Duration { return s.at }
	s.after(reportEvery, s.report)
	return s
}

// ownersFor returns the owners that place a turn and grant its run.
func (s *system) ownersFor(t *turn) []*owner { return s.owners[t.conv.id%len(s.owners)] }

// moved counts the bytes of the links.
func (s *system) moved(bytes float64) {
	s.audit.moved += bytes
	s.stats.moved(bytes)
}

// report refreshes what the engines say of their load.
func (s *system) report() {
	s.after(reportEvery, s.report)
	for i, e := range s.engines {
		s.reports[i] = e.waitTok
	}
	if s.policy.homes == 0 {
		return
	}
	for _, row := range s.owners {
		for _, o := range row {
			o.hear()
		}
	}
}

// arrive takes a turn from its caller.
func (s *system) arrive(t *turn) {
	s.stats.arrived(t)
	t.conv.latest = t
	if t.number > 0 {
		s.returns.ObserveReturn(accountName(t.conv.account), t.gap, s.now())
	}
	s.send(&job{turn: t})
}

// send places a job, again after a failure.
func (s *system) send(j *job) {
	if j.over || s.at > j.turn.at+timeLimit {
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
	if !j.over {
		j.over = true
		j.turn.answers++
		s.stats.shed(j.turn)
	}
}

// attempt makes the run at an engine; o is its owner, or nil without owners.
func (s *system) attempt(j *job, o *owner) *run {
	r := &run{id: j.id, turn: j.turn, deadline: epoch.Add(j.turn.at + timeLimit)}
	r.onFirst = func() {
		if !j.served {
			j.served = true
			s.stats.first(j.turn, s.at+hop-j.turn.at)
		}
		if o != nil {
			s.after(hop, func() { o.first(r) })
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
		j.over = true
		j.turn.answers++
	}
	return r
}

// place chooses an endpoint by the owners' estimates and asks it for a grant.
func (s *system) place(j *job) {
	req := placement.Request{
		PromptTokens: j.turn.prompt,
		TimeLeft:     j.turn.at + timeLimit - s.at,
		Weights:      s.profile.Objective,
	}
	owners := s.ownersFor(j.turn)
	engines := make([]placement.Engine, len(owners))
	for i, o := range owners {
		engines[i] = o.estimate(j)
	}
	placement.FillUnknownRates(engines)
	var held []placement.Store
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
		choice.Import = longestImport(choice, held)
	}
	j.head, j.tail = 0, nil
	if s.policy.overlap {
		j.head = s.splitImport(choice, engines[i], held)
	}
	s.after(hop, func() { owners[i].request(j, choice) })
}

// Run works off a workload under a policy and returns what was measured.
func Run(c Case, seed uint64, h Horizon) Result {
	p := c.Profile
	if c.Fault == Overload {
		p.Conversations *= overloadFactor
	}
	s := newSystem(&p, c.Policy, seed, h)
	s.after(h.Warmup+faultAt, func() { s.inject(c.Fault) })
	return s.serve(c.Name(), workload(&p, h.End, seed), h.End)
}

// serve works off the turns and checks what was done.
func (s *system) serve(name string, turns []*turn, end time.Duration) Result {
	for _, t := range turns {
		s.after(t.at, func() { s.arrive(t) })
	}
	s.run(end)
	s.audit.finish(s, turns)
	r := s.stats.result(name)
	r.Broken = s.audit.broken
	return r
}

package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
	"github.com/cherryward/cherryward/internal/config"
)

// scenario is a rollout of v2 on engines that hold v1.
type scenario struct {
	name string
	setup
	// shared makes all nodes work on all engines instead of on half of them each.
	shared bool
	// before is called before the rollout, and during while it runs.
	before, during func(sim *simulation)
	// separateBoards gives each node its own board. separateLogs gives each node its own log, so that
	// claims are not mutually exclusive.
	separateBoards, separateLogs bool
	// withdrawn is set if weights are withdrawn, in which case they are unloaded whatever the minimum
	// share.
	withdrawn bool
	duration  time.Duration
	version   string // expected at the end
}

// run runs a scenario for its duration and returns the violated invariants.
func (s *scenario) run(t *testing.T) (sim *simulation, violations []string) {
	sim = newSimulation(t, s.setup)
	if s.before != nil {
		s.before(sim)
	}
	ctx, cancel := context.WithCancel(t.Context())
	half := s.engines / 2
	sets := [][]string{sim.engineNames(0, half), sim.engineNames(half, s.engines)}
	for i, set := range sets {
		log := sim.log
		if s.separateLogs {
			log = &logtest.Log{Delay: sim.log.Delay}
		}
		if s.separateBoards {
			sim.board = newBoard()
		}
		if s.shared {
			set = sim.engineNames(0, s.engines)
		}
		sim.nodes = append(sim.nodes, sim.node(fmt.Sprint("node-", i), log, set...))
	}
	var watching sync.WaitGroup
	watching.Go(func() { sim.watch(ctx) })
	time.Sleep(5 * time.Second)
	sim.locked(func() { sim.startedAt = time.Now() })
	sim.setVersion("v2")
	if s.during != nil {
		s.during(sim)
	}
	time.Sleep(s.duration - time.Since(sim.startedAt))
	cancel()
	watching.Wait()
	violations = sim.violations(s)
	for _, n := range sim.nodes {
		n.stop()
		n.done.Wait()
	}
	time.Sleep(slotTTL) // wait for unreleased claims to expire
	return sim, violations
}

// violations checks the invariants and returns those that are violated.
func (sim *simulation) violations(s *scenario) (out []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	add := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	model, _ := sim.config.View().Model("m")
	need := minAvailable(model, sim.size)
	add(sim.observed.maxLoads > 2, "%d loads at once", sim.observed.maxLoads)
	add(sim.observed.minServing < need && !s.withdrawn, "%d engines in service, want %d", sim.observed.minServing, need)
	add(sim.observed.maxUnaccepted > 1, "%d engines with an unproven version", sim.observed.maxUnaccepted)
	add(len(sim.mismatched()) > 0, "unwanted weights: %v", sim.mismatched())
	add(model.GetVersion() != s.version, "model has version %s", model.GetVersion())
	return out
}

func scenarios() []scenario {
	nine := setup{engines: 9, share: 0.7}
	fencing := nine
	fencing.fencing = true
	loseSome := func(sim *simulation) { sim.loseEvery = 3 }
	late := func(sim *simulation) { // longer than an order, its settle time and the engine's claim
		sim.locked(func() { sim.delay = 15 * time.Second })
		time.Sleep(20 * time.Second)
		sim.locked(func() { sim.delay = 0 })
	}
	const short, long = 30 * time.Second, 60 * time.Second
	return []scenario{
		{name: "plain", setup: nine, duration: short, version: "v2"},
		{name: "adapters", setup: setup{engines: 3, adapters: []string{"lora"}}, duration: short, version: "v2"},
		{name: "orders lost", setup: nine, before: loseSome, duration: long, version: "v2"},
		{name: "orders lost, fencing", setup: fencing, before: loseSome, duration: long, version: "v2"},
		{name: "orders late", setup: nine, during: late, duration: long, version: "v2"},
		{name: "orders late, fencing", setup: fencing, during: late, duration: long, version: "v2"},
		{name: "appends lost", setup: nine, before: func(sim *simulation) { sim.log.LoseResponses(20) }, duration: long, version: "v2"},
		{name: "two holders", setup: nine, shared: true, duration: short, version: "v2"},
		{name: "two holders, fencing", setup: fencing, shared: true, duration: short, version: "v2"},
		{name: "two holders, two boards", setup: nine, shared: true, separateBoards: true, duration: short, version: "v2"},
		{name: "board gives all engines a turn", setup: setup{engines: 9, share: 0.85}, before: func(sim *simulation) { sim.allTurns = true }, duration: long, version: "v2"},
		{name: "owners change", setup: nine, duration: 2 * long, version: "v2", during: func(sim *simulation) {
			time.Sleep(6 * time.Second)
			for i := range 6 {
				for _, n := range sim.nodes {
					n.stop()
				}
				sim.nodes = append(sim.nodes, sim.node(fmt.Sprint("new-", i), sim.log, sim.engineNames(0, 9)...))
				time.Sleep(1700 * time.Millisecond)
			}
		}},
		{name: "engines restart", setup: nine, duration: long, version: "v2", during: func(sim *simulation) {
			for _, name := range sim.engineNames(0, 9) {
				time.Sleep(700 * time.Millisecond)
				sim.engines[name].Restart()
			}
		}},
		{name: "operator changes again", setup: nine, duration: long, version: "v3", during: func(sim *simulation) {
			time.Sleep(6 * time.Second)
			sim.setVersion("v3")
		}},
		{name: "hosts leave", setup: nine, duration: long, version: "v2", before: func(sim *simulation) {
			sim.leavingHosts["e7"], sim.leavingHosts["e8"] = true, true
		}, during: func(sim *simulation) {
			time.Sleep(20 * time.Second)
			must.Zero(sim.t, sim.holderCount("v2")) // seven of nine remain, so none can be taken out of service
			sim.locked(func() { clear(sim.leavingHosts) })
		}},
		{name: "canary fails", setup: nine, duration: short, version: "v1", before: func(sim *simulation) { sim.failing["v2"] = true }},
		{name: "withdrawn", setup: nine, withdrawn: true, duration: long, version: "v1", during: func(sim *simulation) {
			time.Sleep(6 * time.Second)
			sim.setVersion("v1")
			sim.put(&pb.ModelVersion{Name: config.VersionName("m", "v2"), Model: "m", Version: "v2", Withdrawn: true})
			time.Sleep(idleInterval + time.Second)
			must.Zero(sim.t, sim.holderCount("v2"))
		}},
		{name: "log down", setup: nine, duration: long, version: "v2", during: func(sim *simulation) {
			time.Sleep(6 * time.Second)
			sim.log.SetDown(true)
			time.Sleep(acquireTimeout + 2*time.Second) // steps whose claims were already acquired continue
			given := sim.orders()
			time.Sleep(20 * time.Second)
			must.Eq(sim.t, given, sim.orders())
			must.Positive(sim.t, sim.holderCount("v1"))
			sim.log.SetDown(false)
		}},
	}
}

func TestRollout(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, violations := s.run(t)
				must.SliceEmpty(t, violations, must.Sprint(violations))
				t.Logf("max loads %d, min serving %d, appends %d, orders %d, done after %v", sim.observed.maxLoads, sim.observed.minServing, sim.log.Traffic().Appends, sim.ordersSent, sim.observed.lastOrder)
			})
		})
	}
}

// TestInvariantChecks checks that each invariant check detects a broken mechanism.
func TestInvariantChecks(t *testing.T) {
	nine := setup{engines: 9, share: 0.9}
	variants := []scenario{
		{name: "at once", setup: setup{engines: 9, share: 0.1}, shared: true, separateBoards: true, separateLogs: true},
		{name: "in service", setup: nine, before: func(sim *simulation) { sim.ignoreMinAvailable = true }},
		{name: "unproven", setup: nine, before: func(sim *simulation) { sim.assumeAccepted = true }},
		{name: "unwanted weights", setup: nine, before: func(sim *simulation) { sim.loseEvery, sim.delay = 1, 3*time.Second }},
	}
	for _, s := range variants {
		s.duration, s.version = 20*time.Second, "v2"
		t.Run(s.name, func(t *testing.T) {
			must.True(t, s.detected(t), must.Sprint("the broken variant was not detected in any run"))
		})
	}
}

// maxAttempts is the maximum number of runs of a broken variant. Nodes choose engines at random: in
// about one run of fifty, two nodes without mutual exclusion choose the same engines, and no invariant
// is violated.
const maxAttempts = 5

// detected runs a broken variant until a violation that contains the scenario's name is found.
func (s *scenario) detected(t *testing.T) bool {
	t.Helper()
	found := false
	for range maxAttempts {
		synctest.Test(t, func(t *testing.T) {
			_, violations := s.run(t)
			found = strings.Contains(fmt.Sprint(violations), s.name)
		})
		if found {
			break
		}
	}
	return found
}

// TestLateOrder checks that orders of an earlier claim holder that arrive after the rollout are
// rejected if engines check fencing tokens, and corrected otherwise.
func TestLateOrder(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := scenario{setup: setup{engines: 3, fencing: fencing}, duration: 20 * time.Second}
			sim := newSimulation(t, s.setup)
			n := sim.node("node", sim.log, sim.engineNames(0, 3)...)
			sim.setVersion("v2")
			time.Sleep(s.duration)
			must.SliceEmpty(t, sim.mismatched())
			for _, o := range []enginewire.Order{
				{Kind: enginewire.OrderUnload, Model: "m", Version: "v2"},
				{Kind: enginewire.OrderLoad, Model: "m", Version: "v1"},
			} {
				o.Token = 1
				err := sim.Order(t.Context(), urlOf("e0"), &o)
				must.Eq(t, fencing, err != nil)
			}
			must.Eq(t, fencing, len(sim.mismatched()) == 0)
			time.Sleep(idleInterval + time.Second)
			must.Zero(t, sim.holderCount("v1"))
			time.Sleep(2 * time.Second)
			must.SliceEmpty(t, sim.mismatched())
			n.stop()
			n.done.Wait()
			time.Sleep(slotTTL)
		})
	}
}

// TestRandomFaults runs rollouts with random concurrent faults and changes, from fixed seeds.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s := scenario{setup: setup{engines: 9, share: 0.7, fencing: seed%2 == 0}, shared: true, separateBoards: seed%4 < 2, duration: 2 * time.Minute, version: "v2"}
			s.during = func(sim *simulation) {
				for range 10 {
					time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Second))))
					switch rng.IntN(5) {
					case 0:
						sim.engines[fmt.Sprint("e", rng.IntN(9))].Restart()
					case 1:
						sim.locked(func() { sim.loseEvery = rng.IntN(4) })
					case 2:
						sim.log.LoseResponses(rng.IntN(4))
					case 3:
						sim.log.SetDown(rng.IntN(2) == 0)
					case 4:
						s.version = fmt.Sprint("v", 1+rng.IntN(3))
						sim.setVersion(s.version)
					}
				}
				sim.log.SetDown(false)
				sim.locked(func() { sim.loseEvery = 0 })
			}
			sim, violations := s.run(t)
			must.SliceEmpty(t, violations, must.Sprint(seed, violations))
			t.Logf("seed %d: max loads %d, min serving %d, appends %d, orders %d", seed, sim.observed.maxLoads, sim.observed.minServing, sim.log.Traffic().Appends, sim.ordersSent)
		})
	}
}

package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/owner"
)

// node is one node of a simulation, and the owner of the engines that it works on.
type node struct {
	*simulation
	*core
	board   *board
	mu      sync.Mutex
	tallies map[string]owner.Tally
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// View implements ConfigSource for the nodes.
func (sim *simulation) View() *config.View {
	view := sim.config.View()
	item, ok := view.Item(config.KindModel, "m")
	if !sim.ignoreMinAvailable || !ok {
		return view
	}
	model := &pb.Model{Name: "m", Version: item.Value.(*pb.Model).GetVersion(), RolloutMinAvailable: 0.01}
	return view.With(config.Entry{Revision: view.Applied(), Kind: config.KindModel, Name: "m", Value: model})
}

func (sim *simulation) leaving(e *pb.Endpoint) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.leavingHosts[e.GetName()]
}

// node starts a node that works on the given engines, with claims in the given log.
func (sim *simulation) node(name string, log *logtest.Log, engines ...string) *node {
	n := &node{simulation: sim, board: sim.board, tallies: make(map[string]owner.Tally)}
	claimer, err := newClaimer(name, &claimLog{log: log})
	must.NoError(sim.t, err)
	n.core = &core{claimer: claimer, configSource: sim, engines: sim, owner: n, reporter: n, leaving: sim.leaving, configFresh: func() bool { return true }, counters: &Counters{}, log: zerolog.Nop()}
	k := &supervisor{board: sim.board, configSource: sim.config, proposer: sim.config, configFresh: n.configFresh, ownsBoard: func(string) bool { return true }, counters: n.counters, log: n.core.log, lastLogged: make(map[string]Progress)}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(sim.t.Context())
	for _, e := range engines {
		n.done.Go(func() { newWorker(n.core, e).run(ctx) })
	}
	n.done.Go(func() {
		for ctx.Err() == nil {
			k.check(ctx)
			n.completeRuns(engines)
			time.Sleep(500 * time.Millisecond)
		}
	})
	return n
}

// completeRuns completes one run on each engine that serves.
func (n *node) completeRuns(engines []string) {
	for _, name := range engines {
		state, _ := n.State(context.Background(), urlOf(name))
		for _, l := range state.Loaded {
			if !l.Loading {
				n.tally(name+l.Version, n.endRun(l.Version))
			}
		}
	}
}

// endRun counts a run on a version and reports whether it failed.
func (n *node) endRun(version string) (failed bool) {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	failed = n.failing[version]
	if failed {
		n.observed.failing++
	} else if version == "v2" {
		n.observed.completed++
	}
	return failed
}

func (n *node) tally(key string, failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.tallies[key]
	if !ok {
		return
	}
	if failed {
		t.Failed++
	} else {
		t.Completed++
	}
	n.tallies[key] = t
}

func (n *node) Withhold(string, string) {}

func (n *node) Observe(endpoint string, state *enginewire.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range []string{"v1", "v2", "v3"} {
		if !isLoaded(state.Loaded, Weights{"m", v, ""}) {
			delete(n.tallies, endpoint+v)
		} else if _, ok := n.tallies[endpoint+v]; !ok {
			n.tallies[endpoint+v] = owner.Tally{Since: time.Now()}
			if n.assumeAccepted {
				n.tallies[endpoint+v] = owner.Tally{Since: time.Now(), Completed: acceptRuns}
			}
		}
	}
}

func (n *node) Runs(endpoint, _, version string) owner.Tally {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tallies[endpoint+version]
}

func (n *node) BoardOwner(string) string { return "keeper" }

func (n *node) Report(_ context.Context, r Report) (Standing, error) {
	reply := n.board.Report(time.Now(), n.View(), r)
	reply.Turn = reply.Turn || n.allTurns
	return reply, nil
}

package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/config/configtest"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	standin "github.com/cherryward/cherryward/standin/engine"
)

var errLost = errors.New("answer lost")

// simulation consists of stand-in engines and nodes without a network, in virtual time. The nodes share
// the log, the configuration and one board.
type simulation struct {
	t         *testing.T
	log       *logtest.Log
	config    *configtest.Log
	board     *board
	engines   map[string]*standin.Engine
	size      int
	startedAt time.Time // start of the rollout
	nodes     []*node

	mu                 sync.Mutex
	failing            map[string]bool // versions whose runs fail
	loseEvery          int             // one of this many orders, or its answer, is lost; 0 disables losses
	ordersSent         int
	delay              time.Duration   // delay until an order reaches its engine
	leavingHosts       map[string]bool // engines on hosts that are leaving
	allTurns           bool            // the board gives every engine a turn
	ignoreMinAvailable bool            // nodes ignore the model's minimum share
	assumeAccepted     bool            // versions are reported as accepted before their first run
	observed           trace
}

// trace holds the observations that the invariants are checked on.
type trace struct {
	maxLoads, minServing int           // maximum concurrent loads, minimum engines in service
	maxUnaccepted        int           // maximum number of engines with v2 before it was accepted
	completed            int           // completed runs on v2
	failing              int           // runs on a failing version
	lastOrder            time.Duration // time from the start to the last order
}

type setup struct {
	engines  int
	fencing  bool
	share    float64
	adapters []string
}

func newSimulation(t *testing.T, s setup) *simulation {
	sim := &simulation{
		t: t, log: &logtest.Log{Delay: 5 * time.Millisecond}, config: configtest.New(), board: newBoard(),
		engines: make(map[string]*standin.Engine), size: s.engines, failing: make(map[string]bool), leavingHosts: make(map[string]bool), observed: trace{minServing: s.engines},
	}
	for _, v := range []string{"v1", "v2", "v3"} {
		sim.put(&pb.ModelVersion{Name: config.VersionName("m", v), Model: "m", Version: v})
	}
	sim.put(&pb.Model{Name: "m", Version: "v1", RolloutMinAvailable: s.share})
	loaded := []enginewire.Loaded{{Model: "m", Version: "v1"}}
	for _, a := range s.adapters {
		sim.put(&pb.Adapter{Name: a, Model: "m"})
		loaded = append(loaded, enginewire.Loaded{Model: "m", Version: "v1", Adapter: a})
	}
	weights := standin.NewWeightStore(standin.WeightConfig{TimeScale: 1})
	for i := range s.engines {
		name := fmt.Sprintf("e%d", i)
		e := standin.New(standin.Config{Loaded: loaded, Weights: weights, CheckFencing: s.fencing})
		t.Cleanup(e.Close)
		sim.engines[name] = e
		sim.put(&pb.Endpoint{Name: name, Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE, Url: urlOf(name), FailureDomain: string(rune('a' + i%3)), Models: []string{"m"}, ChecksFencing: s.fencing})
	}
	return sim
}

// put writes an object as an operator does.
func (sim *simulation) put(v config.Value) {
	item, _ := sim.config.View().Item(config.KindOf(v), v.GetName())
	value, err := config.Encode(v)
	must.NoError(sim.t, err)
	_, err = sim.config.Propose(sim.t.Context(), config.Change{ID: fmt.Sprint(v.GetName(), item.Revision, time.Now()), Kind: config.KindOf(v), Name: v.GetName(), BasedOn: item.Revision, Value: value})
	must.NoError(sim.t, err)
}

// setVersion requests a version as an operator does.
func (sim *simulation) setVersion(version string) {
	model, _ := sim.config.View().Model("m")
	sim.put(&pb.Model{Name: "m", Version: version, RolloutMinAvailable: model.GetRolloutMinAvailable()})
}

// urlOf returns an engine's URL. The engine's number is part of the port.
func urlOf(name string) string { return "http://127.0.0.1:100" + strings.TrimPrefix(name, "e") }

func (sim *simulation) call(method, base, path string, body []byte) (*httptest.ResponseRecorder, error) {
	e := sim.engines["e"+strings.TrimPrefix(base, urlOf("e"))]
	rec := httptest.NewRecorder()
	e.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, bytes.NewReader(body)))
	if rec.Code == http.StatusOK {
		return rec, nil
	}
	refused := &engine.RefusedError{Status: rec.Code}
	_ = json.Unmarshal(rec.Body.Bytes(), &refused.Reason)
	return rec, refused
}

// State implements Engines.
func (sim *simulation) State(_ context.Context, base string) (*enginewire.State, error) {
	rec, err := sim.call(http.MethodGet, base, enginewire.PathState, nil)
	if err != nil {
		return nil, err
	}
	state := new(enginewire.State)
	return state, json.NewDecoder(io.Reader(rec.Body)).Decode(state)
}

// Order implements Engines. A delayed order takes effect even after its sender has timed out.
func (sim *simulation) Order(ctx context.Context, base string, order *enginewire.Order) error {
	sim.mu.Lock()
	sim.ordersSent++
	sim.observed.lastOrder = time.Since(sim.startedAt).Round(100 * time.Millisecond)
	lost, delay := sim.loseEvery > 0 && sim.ordersSent%sim.loseEvery == 0, sim.delay
	dropped := lost && sim.ordersSent%2 == 0
	sim.mu.Unlock()
	body, _ := json.Marshal(order)
	done := make(chan error, 1)
	go func() {
		time.Sleep(delay)
		if dropped {
			done <- errLost
			return
		}
		_, err := sim.call(http.MethodPost, base, enginewire.PathOrders, body)
		done <- err
	}()
	select {
	case err := <-done:
		if lost {
			return errLost
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watch samples the engines until ctx ends.
func (sim *simulation) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var now sample
		for name := range sim.engines {
			state, _ := sim.State(ctx, urlOf(name))
			now.add(state)
			if !sim.leaving(&pb.Endpoint{Name: name}) && serves(Target{Model: "m", Eligible: []string{"v1", "v2", "v3"}}, state) {
				now.serving++
			}
		}
		sim.locked(func() { sim.observed.record(now) })
		time.Sleep(100 * time.Millisecond)
	}
}

// sample holds the number of loads, engines in service and engines with v2 at one time.
type sample struct{ loading, serving, withV2 int }

func (c *sample) add(state *enginewire.State) {
	for _, l := range state.Loaded {
		if l.Loading {
			c.loading++
		}
		if l.Version == "v2" && l.Adapter == "" {
			c.withV2++
		}
	}
}

func (t *trace) record(now sample) {
	t.maxLoads = max(t.maxLoads, now.loading)
	t.minServing = min(t.minServing, now.serving)
	if t.completed < acceptRuns {
		t.maxUnaccepted = max(t.maxUnaccepted, now.withV2)
	}
}

// mismatched returns the engines that are not in the desired state.
func (sim *simulation) mismatched() (names []string) {
	for name := range sim.engines {
		state, _ := sim.State(context.Background(), urlOf(name))
		endpoint, _ := sim.config.View().Endpoint(name)
		if !sim.leavingHosts[name] && len(Plan(Desired(sim.config.View(), endpoint), state.Loaded)) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// holderCount returns the number of engines that hold or load a version.
func (sim *simulation) holderCount(version string) (n int) {
	for name := range sim.engines {
		state, _ := sim.State(context.Background(), urlOf(name))
		for _, l := range state.Loaded {
			if l.Version == version && l.Adapter == "" {
				n++
			}
		}
	}
	return n
}

// orders returns the number of orders sent.
func (sim *simulation) orders() (n int) {
	sim.locked(func() { n = sim.ordersSent })
	return n
}

func (sim *simulation) locked(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

func (sim *simulation) engineNames(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	return names
}

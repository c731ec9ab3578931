package weights

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	model    = "m"
	loadTime = 1300 * time.Millisecond
	lease    = 3 * time.Second
)

// memLog is an in-memory log that can be made unavailable.
type memLog struct {
	mu      sync.Mutex
	records [][]byte
	down    bool
	reads   int
}

var errNoResponse = errors.New("down")

func (l *memLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errNoResponse
	}
	l.records = append(l.records, data)
	return int64(len(l.records) - 1), nil
}

func (l *memLog) Read(_ context.Context, from int64, _ int) ([]claim.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return nil, 0, errNoResponse
	}
	var records []claim.Record
	for i := from; i < int64(len(l.records)); i++ {
		records = append(records, claim.Record{Offset: i, Data: l.records[i]})
	}
	return records, int64(len(l.records)), nil
}

// readCount returns the number of reads so far.
func (l *memLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// receivedOrder is an order that an engine received.
type receivedOrder struct {
	Order
	endpoint string
	at       time.Time
}

// engines simulates engines that execute load orders in loadTime.
type engines struct {
	mu            sync.Mutex
	version       map[string]int64
	done          map[string]time.Time // end of the current load
	next          map[string]int64
	orders        map[string]int64
	accepted      []receivedOrder
	maxLoading    int // maximum number of concurrent loads so far
	loseResponses int // number of next orders that are executed but whose response is lost
	startedMs     map[string]int64
	delayOrders   int             // number of next orders to delay
	delayed       []receivedOrder // delayed orders
	silent        map[string]int  // number of next orders to the engine that are neither answered nor executed
}

func (e *engines) finishLoad(id string) {
	if next := e.next[id]; next > 0 && !time.Now().Before(e.done[id]) {
		e.version[id] = next
		delete(e.next, id)
	}
}

func (e *engines) Report(_ context.Context, at *fleet.Endpoint) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoad(at.ID)
	return Report{Weights: []fleet.Weights{{Model: model, Version: e.version[at.ID]}}, StartedMs: e.startedMs[at.ID], Busy: e.next[at.ID] > 0, Orders: e.orders[at.ID], Running: 1}, nil
}

func (e *engines) Order(ctx context.Context, at *fleet.Endpoint, o Order) (Reply, error) {
	if e.isSilent(at.ID) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoad(at.ID)
	if e.delayOrders > 0 {
		e.delayOrders--
		e.delayed = append(e.delayed, receivedOrder{o, at.ID, time.Now()})
		return 0, errNoResponse
	}
	return e.accept(at, o)
}

// accept executes an order if it is valid. e.mu must be held.
func (e *engines) accept(at *fleet.Endpoint, o Order) (Reply, error) {
	if e.next[at.ID] > 0 || o.Expected != e.orders[at.ID] {
		return Busy, nil
	}
	e.accepted = append(e.accepted, receivedOrder{o, at.ID, time.Now()})
	e.orders[at.ID]++
	e.next[at.ID] = o.Version
	e.done[at.ID] = time.Now().Add(loadTime)
	for id := range e.next {
		e.finishLoad(id)
	}
	e.maxLoading = max(e.maxLoading, len(e.next))
	if e.loseResponses > 0 {
		e.loseResponses--
		return 0, errNoResponse
	}
	return Taken, nil
}

// isSilent reports whether an order must be ignored, and counts the order.
func (e *engines) isSilent(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent[id] == 0 {
		return false
	}
	e.silent[id]--
	return true
}

// orders returns the orders that engines have accepted.
func (sim *simulation) orders() []receivedOrder {
	sim.engines.mu.Lock()
	defer sim.engines.mu.Unlock()
	return slices.Clone(sim.engines.accepted)
}

type wanted struct {
	mu      sync.Mutex
	version int64
}

func (w *wanted) Models() []string { return []string{model} }

func (w *wanted) Wanted(string) (int64, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, time.Now()
}

// simulation holds the log, the engines and the nodes of a simulated system.
type simulation struct {
	log     *memLog
	engines *engines
	wanted  *wanted
	ids     []string
	// standby lists the standby nodes; nil means all.
	standby []string
	// reporter and claims replace engines and log if not nil.
	reporter Engines
	claims   claim.Log
	clock    *clock.Clock // clock of all nodes
	// partitioned holds the nodes that can't reach the engines, and the links that are cut.
	partitioned sync.Map

	mu       sync.Mutex
	services map[string]*Service // running
}

// nodePeers implements Peers for one node.
type nodePeers struct {
	*simulation
	name string
}

func (p nodePeers) Standby() bool { return p.standby == nil || slices.Contains(p.standby, p.name) }

func (p nodePeers) Led() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		if name != p.name && s.Leads() {
			return true
		}
	}
	return false
}

func newSimulation(ids ...string) *simulation {
	sim := &simulation{
		log: &memLog{}, wanted: &wanted{version: 1}, ids: ids, services: map[string]*Service{},
		engines: &engines{version: map[string]int64{}, done: map[string]time.Time{}, next: map[string]int64{}, orders: map[string]int64{}, startedMs: map[string]int64{}, silent: map[string]int{}},
	}
	for _, id := range ids {
		sim.engines.version[id] = 1
		sim.engines.startedMs[id] = 1
	}
	return sim
}

// startNode starts a service with its own fleet, which is updated by heartbeats every second, and
// returns a function that stops it.
func (sim *simulation) startNode(t *testing.T, name string) (stop func()) {
	t.Helper()
	f := fleet.New(zerolog.Nop())
	sim.heartbeat(f)
	var reporter Engines = sim.engines
	if sim.reporter != nil {
		reporter = sim.reporter
	}
	var claims claim.Log = sim.log
	if sim.claims != nil {
		claims = sim.claims
	}
	s, err := New(Config{
		Node: name, Fleet: f, Wanted: sim.wanted, Engines: linkedEngines{reporter, sim, name}, Claims: claims, Peers: nodePeers{sim, name},
		Lease: lease, Changed: make(chan struct{}), Clock: sim.clock, Log: zerolog.Nop(), Paths: nodePaths{sim, name},
	})
	must.NoError(t, err)
	sim.mu.Lock()
	sim.services[name] = s
	sim.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { must.NoError(t, s.Run(ctx)) })
	wg.Go(func() {
		for ctx.Err() == nil {
			retry.Sleep(ctx, time.Second)
			sim.heartbeat(f)
		}
	})
	return func() {
		sim.mu.Lock()
		delete(sim.services, name)
		sim.mu.Unlock()
		cancel()
		wg.Wait()
		time.Sleep(2 * maxClaimTTL) // until the claims' goroutines have ended
	}
}

func (sim *simulation) heartbeat(f *fleet.Fleet) {
	sim.engines.mu.Lock()
	defer sim.engines.mu.Unlock()
	now := time.Now()
	for _, id := range sim.ids {
		sim.engines.finishLoad(id)
		f.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: "127.0.0.1:1", StartedMs: sim.engines.startedMs[id], Weights: []fleet.Weights{{Model: model, Version: sim.engines.version[id]}}}, now)
	}
	f.Expire(now)
}

func (sim *simulation) requestVersion(version int64) {
	sim.wanted.mu.Lock()
	defer sim.wanted.mu.Unlock()
	sim.wanted.version = version
}

func (sim *simulation) versions() []int64 {
	sim.engines.mu.Lock()
	defer sim.engines.mu.Unlock()
	var list []int64
	for _, id := range sim.ids {
		sim.engines.finishLoad(id)
		list = append(list, sim.engines.version[id])
	}
	return list
}

func nineEngines() []string { return []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} }

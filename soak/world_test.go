package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	fewClients      = 12
	recoveryTimeout = 30 * time.Second
	recoveryGoal    = 50 // successful responses required after the last fault
	// calmTime is the time after that and the stable window in which clients send, so that nodes are connected
	// for some of it.
	calmTime = 2 * time.Second

	heartbeatInterval = 150 * time.Millisecond
	eventInterval     = 5 * time.Millisecond
)

// The releases of the model servers' software.
const (
	firstRelease = "v1"
	otherRelease = "v2"
)

// world is the state of one run.
type world struct {
	t                 *testing.T
	seed              int64
	shape             shape
	bounds            site.Bounds // of the shape
	random            *rand.Rand
	site              *site.Site
	proxies           []*proxy // of the metadata store, the KV cache store, the model servers and the plain server
	nodes             []*process
	observed          *observed
	storeDisturbances spans           // faults of the metadata store and its link
	changes           *releaseChanges // nil if the releases don't change
	removed           []spans         // for each model server: times without a registry entry
	away              []spans         // for each model server: times in which its pool is away
	returns           []func()        // for each model server: ends the time in which its pool is away; nil if it is not
	draining          []spans         // for each model server: times in which it says so in responses
	acting            spans           // times in which any fault acts
	samples           []sample
	removing          sync.Mutex
	// evacuated holds the times in which the failure domain of the last model server is evacuated.
	evacuated   spans
	evacuating  sync.Mutex
	limited     spans // times in which model servers report limits
	limiting    sync.Mutex
	brittle     spans // times in which model servers report that they are brittle
	log         *os.File
	faultsEnded chan struct{} // closed when fault injection ends

	listing sync.Mutex // of absent and the entries that it decides on
	absent  []absence  // for each model server

	mu           sync.Mutex
	serving      []int                // for each place in a pool, the index of the server that came in last
	reserved     bool                 // all nodes, by the fault that kills them
	wanted       chan struct{}        // closed while they are
	era          int                  // of the metadata store
	evacuatedNow bool                 // the operator's latest order
	version      int64                // of the configuration
	keys         []string             // in force
	revoked      map[string]time.Time // when the removal of a key was acknowledged
	versions     []targetVersion      // target versions of the weights, oldest first
	faults       map[*modelserver.Server][]*serverFault
	streams      streamCounts
	crashes      []time.Time // crashes of model servers by the crashing request
	losses       []time.Time // at which all nodes were killed
	restarts     sync.WaitGroup
}

// targetVersion is a target version of the weights and the time at which it was set.
type targetVersion struct {
	version int64
	at      time.Time
}

// newWorld starts a system in which releases change, or not; see changes.
func newWorld(t *testing.T, seed int64, s shape, change string) *world {
	w := &world{
		t: t, seed: seed, shape: s, bounds: s.bounds, random: rand.New(rand.NewPCG(uint64(seed), 1)), observed: newObserved(), faultsEnded: make(chan struct{}), wanted: make(chan struct{}),
		revoked: make(map[string]time.Time), faults: make(map[*modelserver.Server][]*serverFault),
	}
	var err error
	w.log, err = os.Create(filepath.Join(t.TempDir(), "nodes.log"))
	must.NoError(t, err)
	w.site, err = site.Start(site.Config{
		HeartbeatInterval: heartbeatInterval, EventInterval: eventInterval, IP: ownIP(), Releases: s.releases(), Zones: s.zones,
		Bounds: s.bounds, Loads: s.loads(), Proxy: w.addProxy, OnCrash: w.onServerCrash,
	})
	must.NoError(t, err)
	w.putEntriesBeforeStart()
	if change != changeNever {
		w.changes = &releaseChanges{world: w, only: change != changeBeside, random: rand.New(rand.NewPCG(uint64(seed), 4))}
		if change == changeAmid {
			w.changes.orders = newOrders(seed)
		}
		w.changes.pools = w.addPools()
	}
	w.initPools()
	for _, s := range w.site.Models {
		w.applyFaults(s)
	}
	if w.changes != nil {
		w.changes.begin()
	}
	w.configure("k1")
	w.startNodes()
	return w
}

// addProxy starts a proxy of a stand-in and returns its address.
func (w *world) addProxy(addr string) (string, error) {
	p, err := newProxy(addr)
	if err != nil {
		return "", err
	}
	w.proxies = append(w.proxies, p)
	return p.addr(), nil
}

// ownIP returns a loopback address that depends on the last 16 bits of the process id, so that
// concurrent runs on a host use different addresses. Otherwise the port of a stopped node could be
// reused by a server of another run while clients still connect to it.
func ownIP() string {
	id := os.Getpid()
	return fmt.Sprintf("127.77.%d.%d", id>>8&0xff, max(id&0xff, 1))
}

// configure replaces the API keys.
func (w *world) configure(keys ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.site.Configure(w.version, keys...)
	for _, key := range w.keys {
		w.revoked[key] = time.Now()
	}
	for _, key := range keys {
		delete(w.revoked, key)
	}
	w.keys = keys
}

func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[0]
}

// setVersion sets a new target version of the weights.
func (w *world) setVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.site.SetTargetVersion(w.version)
	w.versions = append(w.versions, targetVersion{w.version, time.Now()})
}

// servers returns the plain server and the model servers.
func (w *world) servers() []*modelserver.Server {
	return append([]*modelserver.Server{w.site.Plain}, w.site.Models...)
}

func (w *world) run() {
	length := shortRun
	if *minutes > 0 {
		length = time.Duration(*minutes * float64(time.Minute))
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	var wg sync.WaitGroup
	for i := range max(fewClients, len(w.nodes)/2) {
		seed := w.random.Uint64()
		wg.Go(func() { w.client(i, seed).run(ctx) })
	}
	if w.changes != nil {
		for i := range streamClients {
			c := w.client(max(fewClients, len(w.nodes)/2)+i, w.changes.random.Uint64())
			c.streams = true
			wg.Go(func() { c.run(ctx) })
		}
	}
	seed := w.random.Uint64()
	if w.changes == nil || !w.changes.only {
		wg.Go(func() { w.sendCrashing(ctx, seed) })
	}
	wg.Go(func() { w.sampleServers(ctx) })
	w.injectFaults(length)
	w.heal()
	healed := time.Now()
	back := w.observed.reached(w.observed.successCount() + recoveryGoal)
	recovered := true
	select {
	case <-back:
	case <-time.After(recoveryTimeout):
		recovered = false
	}
	time.Sleep(w.bounds.StableWindow + calmTime)
	if *minutes > 0 {
		time.Sleep(time.Until(healed.Add(w.bounds.StableWindow + w.endBound() + calmTime)))
	}
	cancel()
	wg.Wait()
	w.restarts.Wait()
	w.stop()
	w.check(recovered)
}

func (w *world) client(i int, seed uint64) *client {
	random := rand.New(rand.NewPCG(seed, 2))
	c := &client{
		name: fmt.Sprintf("c%d-", i), random: random, observed: w.observed, key: w.key,
		http:       &http.Client{Transport: &http.Transport{}},
		chooseNode: func() (int, string) { return w.anyNode(random) },
	}
	if w.changes != nil {
		c.delays = rand.New(rand.NewPCG(seed, 5))
	}
	return c
}

// stop kills the nodes of this run and stops the stand-ins.
func (w *world) stop() {
	for _, p := range w.nodes {
		p.kill()
		if p.link != nil {
			p.link.close()
		}
	}
	w.site.Close()
	for _, p := range w.proxies {
		p.close()
	}
	w.log.Close()
}

// check reports the violated guarantees. If there are any, the nodes' logs are saved.
func (w *world) check(recovered bool) {
	for _, failure := range w.violations() {
		w.t.Error(failure)
	}
	if !recovered {
		w.t.Errorf("requests did not succeed again within %v after the last fault", recoveryTimeout)
	}
	w.t.Logf("%d successful, %d rejected as not run, %d server crashes by a request, maximum age of replaced weights: %v, %v", w.observed.answered, len(w.observed.refused), len(w.crashes), w.oldestWeights(), w.streams)
	if w.changes != nil {
		w.t.Logf("%d steps of releases, %d tries of resumes; all nodes killed at %v, crashes at %v", w.changes.steps, len(w.observed.resumes), clockTimes(w.losses), clockTimes(w.crashes))
	}
	w.t.Logf("shape %s, %d nodes, %d model servers; %s; %s", w.shape.name, len(w.nodes), len(w.site.Models), w.versionSummary(), w.servedSummary())
	if w.t.Failed() || *keepLogs {
		kept := filepath.Join(os.TempDir(), "cherryward-soak-"+strings.ReplaceAll(w.t.Name(), "/", "-")+".log")
		if data, err := os.ReadFile(w.log.Name()); err == nil && os.WriteFile(kept, data, 0o600) == nil {
			w.t.Log("the nodes' logs are saved in ", kept)
		}
	}
}

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
	fewClients  = 12
	recoverTime = 30 * time.Second
	recovered   = 50 // answers after the last trouble

	beat = 150 * time.Millisecond
	gap  = 5 * time.Millisecond
)

// world is one run.
type world struct {
	t       *testing.T
	seed    int64
	random  *rand.Rand
	site    *site.Site
	proxies []*proxy // of the metadata store, the KV cache's store, the model servers and the plain one
	nodes   []*process
	seen    *seen
	core    spans   // troubles of the metadata store and of the way to it
	away    []spans // of each model server: its entry is gone
	leaving sync.Mutex
	// evacuated are the times in which the failure domain of the last model server is evacuated.
	evacuated  spans
	evacuating sync.Mutex
	limited    spans // the times in which model servers name limits
	limiting   sync.Mutex
	log        *os.File
	over       chan struct{} // closed once no more troubles are caused

	mu      sync.Mutex
	version int64                // of the configuration
	keys    []string             // in force
	revoked map[string]time.Time // when it was acknowledged that a key is gone
	named   []naming             // of weights, oldest first
	faults  map[*modelserver.Server][]*fault
	endings []time.Time // of model servers, by the request that ends them
	ups     sync.WaitGroup
}

// naming is one version of the weights that the operator named.
type naming struct {
	version int64
	at      time.Time
}

func newWorld(t *testing.T, seed int64, nodes int) *world {
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 1)), seen: newSeen(), over: make(chan struct{}),
		revoked: make(map[string]time.Time), faults: make(map[*modelserver.Server][]*fault),
	}
	var err error
	w.log, err = os.Create(filepath.Join(t.TempDir(), "nodes.log"))
	must.NoError(t, err)
	w.site, err = site.Start(site.Config{Beat: beat, Gap: gap, IP: ownIP(), Proxy: func(addr string) (string, error) {
		p, err := newProxy(addr)
		if err != nil {
			return "", err
		}
		w.proxies = append(w.proxies, p)
		return p.addr(), nil
	}, Ended: w.serverEnds})
	must.NoError(t, err)
	for _, s := range w.site.Models {
		w.applyFaults(s)
	}
	w.away = make([]spans, len(w.site.Models))
	w.configure("k1")
	for i := range nodes {
		w.nodes = append(w.nodes, &process{})
		w.start(i)
	}
	return w
}

// ownIP returns an address of the loopback network that no other run on this host has, as far as their
// processes' ids differ in the last 16 bits: a port of a node that ended may be given to a server of
// another run, whose clients would still use it.
func ownIP() string {
	id := os.Getpid()
	return fmt.Sprintf("127.77.%d.%d", id>>8&0xff, max(id&0xff, 1))
}

// configure replaces the keys.
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

// nameVersion names new weights.
func (w *world) nameVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.site.NameVersion(w.version)
	w.named = append(w.named, naming{w.version, time.Now()})
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
	seed := w.random.Uint64()
	wg.Go(func() { w.sendEnding(ctx, seed) })
	w.harm(length)
	w.heal()
	back := w.seen.reached(w.seen.served() + recovered)
	isBack := true
	select {
	case <-back:
	case <-time.After(recoverTime):
		isBack = false
	}
	cancel()
	wg.Wait()
	w.ups.Wait()
	w.stop()
	w.check(isBack)
}

func (w *world) client(i int, seed uint64) *client {
	random := rand.New(rand.NewPCG(seed, 2))
	return &client{
		name: fmt.Sprintf("c%d-", i), random: random, seen: w.seen, key: w.key,
		http: &http.Client{Transport: &http.Transport{}},
		choose: func() (int, string) {
			node := random.IntN(len(w.nodes))
			return node, *w.nodes[node].addr.Load()
		},
	}
}

// stop ends the nodes that this run started, and all else.
func (w *world) stop() {
	for _, p := range w.nodes {
		p.kill()
	}
	w.site.Close()
	for _, p := range w.proxies {
		p.close()
	}
	w.log.Close()
}

// check reports the broken promises, and keeps the nodes' logs if there are some.
func (w *world) check(isBack bool) {
	for _, failure := range w.brokenPromises() {
		w.t.Error(failure)
	}
	if !isBack {
		w.t.Errorf("not served again within %v after the last trouble", recoverTime)
	}
	w.t.Logf("%d answered, %d refused, %d servers ended by a request, oldest replaced weights that ran: %v", w.seen.answered, len(w.seen.refused), len(w.endings), w.oldestWeights())
	if w.t.Failed() {
		kept := filepath.Join(os.TempDir(), "cherryward-soak-"+strings.ReplaceAll(w.t.Name(), "/", "-")+".log")
		if data, err := os.ReadFile(w.log.Name()); err == nil && os.WriteFile(kept, data, 0o600) == nil {
			w.t.Log("the nodes' logs are kept in ", kept)
		}
	}
}

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/site"
)

// world is one run.
type world struct {
	t       *testing.T
	random  *rand.Rand
	site    *site.Site
	proxies []*proxy // the metadata store's is the first
	nodes   []*process
	seen    *seen

	mu      sync.Mutex
	version int64                // of the configuration
	keys    []string             // in force
	revoked map[string]time.Time // when it was acknowledged that a key is gone
	log     *os.File
}

func newWorld(t *testing.T, seed int64, nodes int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(uint64(seed), 1)), seen: newSeen(), revoked: make(map[string]time.Time)}
	var err error
	w.log, err = os.Create(filepath.Join(t.TempDir(), "nodes.log"))
	must.NoError(t, err)
	w.site, err = site.Start(site.Config{Beat: 150 * time.Millisecond, Gap: 5 * time.Millisecond, Proxy: func(addr string) (string, error) {
		p, err := newProxy(addr)
		if err != nil {
			return "", err
		}
		w.proxies = append(w.proxies, p)
		return p.addr(), nil
	}})
	must.NoError(t, err)
	w.configure("k1")
	for i := range nodes {
		w.nodes = append(w.nodes, &process{})
		w.start(i)
	}
	return w
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

func (w *world) run() {
	length := shortRun
	if *minutes > 0 {
		length = time.Duration(*minutes * float64(time.Minute))
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	var wg sync.WaitGroup
	for i := range clients {
		seed := w.random.Uint64()
		wg.Go(func() { w.client(i, seed).run(ctx) })
	}
	w.harm(length)
	w.heal()
	before := w.seen.served()
	deadline := time.Now().Add(recoverTime)
	for w.seen.served() < before+50 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	recovered := w.seen.served() >= before+50
	cancel()
	wg.Wait()
	w.stop()
	w.check(recovered)
}

func (w *world) client(i int, seed uint64) *client {
	random := rand.New(rand.NewPCG(seed, 2))
	return &client{
		name: string(rune('a' + i)), random: random, seen: w.seen, key: w.key,
		http: &http.Client{Transport: &http.Transport{}},
		node: func() string { return *w.nodes[random.IntN(len(w.nodes))].addr.Load() },
	}
}

// stop ends the nodes that this run started, and all else.
func (w *world) stop() {
	for _, p := range w.nodes {
		w.signal(p, syscall.SIGKILL)
		<-p.ended
	}
	w.site.Close()
	for _, p := range w.proxies {
		p.close()
	}
	w.log.Close()
}

// check compares what servers ran with what clients were told.
func (w *world) check(recovered bool) {
	for _, failure := range w.brokenPromises() {
		w.t.Error(failure)
	}
	if !recovered {
		w.t.Errorf("not served again within %v after the last trouble", recoverTime)
	}
	w.t.Logf("%d answered, %d refused", w.seen.answered, len(w.seen.refused))
	if w.t.Failed() {
		kept := filepath.Join(os.TempDir(), "cherryward-soak-"+strings.ReplaceAll(w.t.Name(), "/", "-")+".log")
		if data, err := os.ReadFile(w.log.Name()); err == nil && os.WriteFile(kept, data, 0o600) == nil {
			w.t.Log("the nodes' logs are kept in ", kept)
		}
	}
}

// Package soak runs gateway nodes as processes before a stand-in of the users'
// platform and harms them from outside, at random: proxies that delay, reset, silence
// and cut connections one way, signals that stop, freeze, kill and restart nodes, a
// metadata store and servers that misbehave. Clients go on all the while. The promises
// are checked from what clients got and servers ran.
//
//	go test ./soak                          the seeds of CI, some seconds each
//	go test ./soak -seed 7 -minutes 3       one seed
//	go test ./soak -seeds 50 -timeout 1h    fifty seeds from 1 on
//	go test ./soak -seed 7 -nodes 16        a large system, where few nodes read the store
package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/daemon"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

var (
	oneSeed = flag.Int64("seed", 0, "run this seed alone")
	seeds   = flag.Int64("seeds", 0, "run so many seeds, from 1 on")
	many    = flag.Int("nodes", fewNodes, "how many nodes")
	minutes = flag.Float64("minutes", 0, "how long a seed runs; 0 means some seconds")
)

const (
	runEnv   = "CHERRYWARD_SOAK_NODE" // makes the test's binary a node
	fewNodes = 3
	// manyNodes is a system in which few nodes read the store for the others.
	manyNodes   = 14
	clients     = 6
	shortRun    = 6 * time.Second
	recoverTime = 30 * time.Second
	revokeBound = 5 * time.Second // of the site's boot files
	nodesAtOnce = 2               // that may be harmed at the same time
)

// ciSeeds are run by CI, with each seed that ever failed; see REGRESSIONS.md.
var ciSeeds = []int64{1, 2}

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		os.Exit(daemon.Run(ctx, os.Args, daemon.Streams{Out: os.Stdout, Err: os.Stderr}))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	list := ciSeeds
	if *oneSeed != 0 {
		list = []int64{*oneSeed}
	}
	for seed := int64(1); seed <= *seeds; seed++ {
		if seed == 1 {
			list = nil
		}
		list = append(list, seed)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newWorld(t, seed, *many).run() })
	}
}

// TestSoakManyNodes runs the seed of CI for a large system.
func TestSoakManyNodes(t *testing.T) {
	if *oneSeed != 0 || *seeds != 0 {
		t.Skip("seeds were asked for, which TestSoak runs")
	}
	newWorld(t, 3, manyNodes).run()
}

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

// process is one node, started again and again.
type process struct {
	mu    sync.Mutex
	cmd   *exec.Cmd
	addr  atomic.Pointer[string]
	ended chan struct{}
	busy  bool // being harmed
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

var callersField = regexp.MustCompile(`callers=(\S+).*event=start`)

// start starts a node and waits until it listens.
func (w *world) start(i int) {
	p := w.nodes[i]
	name := fmt.Sprint("n", i)
	file := filepath.Join(w.t.TempDir(), name+".toml")
	must.NoError(w.t, os.WriteFile(file, []byte(w.site.BootFile(name)), 0o600))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(os.Args[0], "run", "--boot", file)
	p.cmd.Env = append(os.Environ(), runEnv+"=1")
	out, err := p.cmd.StdoutPipe()
	must.NoError(w.t, err)
	must.NoError(w.t, p.cmd.Start())
	ended := make(chan struct{})
	p.ended = ended
	lines := bufio.NewReader(out)
	for {
		line, err := lines.ReadString('\n')
		if found := callersField.FindStringSubmatch(line); found != nil {
			p.addr.Store(&found[1])
			break
		}
		must.NoError(w.t, err)
	}
	cmd := p.cmd
	go func() {
		_, _ = io.Copy(w.log, lines) // ends with the process
		_ = cmd.Wait()               // any end is looked at by who caused it
		close(ended)
	}()
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

// harm causes one trouble after the other, which overlap, for a time.
func (w *world) harm(length time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		kind, target := w.random.IntN(8), w.random.IntN(1000)
		lasts := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
		wg.Go(func() { w.cause(kind, target, lasts) })
		time.Sleep(time.Duration(100+w.random.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
}

// cause causes one trouble, and ends it.
func (w *world) cause(kind, target int, lasts time.Duration) {
	switch kind {
	case 0, 1:
		w.harmNode(target, lasts)
	case 2, 3:
		p := w.proxies[target%len(w.proxies)]
		p.set(trouble(1 + target/7%int(troubles-1)))
		time.Sleep(lasts)
		p.set(none)
	case 4:
		w.site.Store.SetFaults([]metastore.Faults{{Down: true}, {LoseAnswers: true}, {Delay: 150 * time.Millisecond}}[target%3])
		time.Sleep(lasts)
		w.site.Store.SetFaults(metastore.Faults{})
	case 5:
		s := append([]*modelserver.Server{w.site.Plain}, w.site.Models...)[target%4]
		s.SetFaults([]modelserver.Faults{{Shed: true}, {LoseAnswer: true}, {CutAfter: 1 + target%6}, {Unproven: true}, {Status: 500}}[target/4%5])
		time.Sleep(lasts)
		s.SetFaults(modelserver.Faults{})
	case 6:
		w.configure(fmt.Sprint("k", target))
		if target%2 == 0 {
			w.site.Store.Forget("keyed.op")
		}
	case 7:
		w.mu.Lock()
		w.version++
		version := w.version
		w.mu.Unlock()
		w.site.NameVersion(version)
	}
}

// harmNode stops, kills, freezes or hangs up a node, and starts it again.
func (w *world) harmNode(target int, lasts time.Duration) {
	i := target % len(w.nodes)
	p := w.nodes[i]
	if !w.claim(p) {
		return
	}
	defer func() {
		w.mu.Lock()
		p.busy = false
		w.mu.Unlock()
	}()
	switch target / len(w.nodes) % 4 {
	case 0:
		w.signal(p, syscall.SIGKILL)
		<-p.ended
		time.Sleep(lasts)
		w.start(i)
	case 1:
		w.signal(p, syscall.SIGTERM)
		<-p.ended
		w.start(i)
	case 2:
		w.signal(p, syscall.SIGSTOP)
		time.Sleep(3 * lasts)
		w.signal(p, syscall.SIGCONT)
	case 3:
		w.signal(p, syscall.SIGHUP)
	}
}

// claim marks a node as being harmed, unless too many are.
func (w *world) claim(p *process) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	busy := 0
	for _, other := range w.nodes {
		if other.busy {
			busy++
		}
	}
	if p.busy || busy >= nodesAtOnce {
		return false
	}
	p.busy = true
	return true
}

func (w *world) signal(p *process, s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// heal ends all troubles that may still last.
func (w *world) heal() {
	for _, p := range w.proxies {
		p.set(none)
	}
	w.site.Store.SetFaults(metastore.Faults{})
	for _, s := range append([]*modelserver.Server{w.site.Plain}, w.site.Models...) {
		s.SetFaults(modelserver.Faults{})
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

func (w *world) brokenPromises() []string {
	broken := w.seen.failures
	uploads := make(map[string]int)
	for _, s := range append([]*modelserver.Server{w.site.Plain}, w.site.Models...) {
		for _, r := range s.Runs() {
			sent, known := w.seen.sent[r.Request]
			gone, isGone := w.revoked[sent.key]
			switch {
			case !known:
				broken = append(broken, r.Request+" ran, and no client sent it")
			case r.Header.Get("X-Tenant") != site.Account || r.Header.Get("Authorization") != "":
				broken = append(broken, r.Request+" ran under another account, or with its key")
			case isGone && sent.at.After(gone.Add(revokeBound)):
				broken = append(broken, r.Request+" ran with a key that was taken away")
			case w.seen.refused[r.Request] && !strings.HasPrefix(r.Target, site.PathLookup):
				broken = append(broken, r.Request+" ran, and its client was told that it did not")
			}
			if strings.HasPrefix(r.Target, site.PathUpload) || strings.HasPrefix(r.Target, site.PathSummary) {
				uploads[r.Request]++
			}
		}
	}
	for id, n := range uploads {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return broken
}

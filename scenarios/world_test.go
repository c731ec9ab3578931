package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/invariant"
	"github.com/cherryward/cherryward/standin/engine"
	"github.com/cherryward/cherryward/standin/service"
	"github.com/cherryward/cherryward/standin/store"
)

const (
	// awaitLimit is the default timeout when waiting for a condition.
	awaitLimit = 30 * time.Second
	pollEvery  = 20 * time.Millisecond
	mebibyte   = 1 << 20
)

// world is the state of one script.
type world struct {
	env    *testscript.Env
	ctx    context.Context
	cancel context.CancelFunc
	fleet  *demo.Fleet
	oracle *oracle
	wg     sync.WaitGroup

	mu        sync.Mutex
	nodes     map[string]*nodeProcess
	order     []*nodeProcess
	results   map[string]*outcome
	all       []*outcome
	loads     map[string]*loadRun
	tickets   map[string]string
	history   invariant.History
	runStarts map[string]int // number of started runs by prompt
	lastNode  int            // index of the last node that balance returned
	running   int            // runs in progress at engines
	peak      int            // maximum of running
}

func newWorld(env *testscript.Env) *world {
	w := &world{
		env:       env,
		oracle:    newOracle(),
		nodes:     make(map[string]*nodeProcess),
		results:   make(map[string]*outcome),
		loads:     make(map[string]*loadRun),
		tickets:   make(map[string]string),
		runStarts: make(map[string]int),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// standins starts the stand-ins for external systems.
func (w *world) standins(a *args) error {
	cfg := engine.Config{
		CacheBlocks:  a.number("cache", engine.DefaultCacheBlocks),
		PrefillSpeed: a.float("prefill", 200000),
		DecodeStep:   a.duration("step", 5*time.Millisecond),
		MaxRunning:   a.number("running", engine.DefaultMaxRunning),
		KeepRuns:     a.duration("keep", engine.DefaultKeepRuns),
		TimeScale:    a.float("scale", 1),
	}
	opts := demo.Options{Service: service.Config{ExecuteTime: a.duration("execute", 0)}, Wrap: w.wrap}
	for range a.number("engines", 2) {
		opts.Engines = append(opts.Engines, cfg)
	}
	for range a.number("stores", 0) {
		opts.Stores = append(opts.Stores, store.Config{MemoryBytes: 256 * mebibyte, DiskBytes: 256 * mebibyte})
	}
	var err error
	if w.fleet, err = demo.Start(opts); err != nil {
		return err
	}
	for i, url := range w.fleet.EngineURLs {
		w.fleet.Hosts.Set(hostwire.Host{ID: engineName(i), Addr: hostOf(url), Domain: "north", State: hostwire.Live})
	}
	return nil
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func hostOf(base string) string { return strings.TrimPrefix(base, "http://") }

// base returns the base URL of a stand-in.
func (w *world) base(name string) (string, error) {
	switch name {
	case "log":
		return w.fleet.LogURL, nil
	case "hosts":
		return w.fleet.HostsURL, nil
	case demo.Ledger:
		return w.fleet.ServiceURL, nil
	}
	for i, url := range w.fleet.EngineURLs {
		if name == engineName(i) {
			return url, nil
		}
	}
	for i, url := range w.fleet.StoreURLs {
		if name == fmt.Sprintf("store-%d", i+1) {
			return url, nil
		}
	}
	return "", fmt.Errorf("unknown stand-in %q", name)
}

// fault sets the faults of a stand-in, given as JSON, or triggers the one-time fault of the given
// name.
func (w *world) fault(a *args) error {
	base, err := w.base(a.word(0))
	if err != nil {
		return err
	}
	path, body := "/fault", a.word(1)
	if !strings.HasPrefix(body, "{") {
		path, body = path+"/"+body, ""
	}
	resp, err := http.Post(base+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("fault: status %d", resp.StatusCode)
	}
	return nil
}

// poll waits until ok returns true. It returns false after the timeout.
func (w *world) poll(limit time.Duration, ok func() bool) bool {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// close stops all loads, nodes and stand-ins, and then checks the invariants.
func (w *world) close(t testscript.T) {
	for _, l := range w.loads {
		l.cancel()
	}
	w.cancel()
	for _, n := range w.order {
		n.kill()
	}
	w.wg.Wait()
	if w.fleet == nil {
		return
	}
	h := w.collect()
	_ = w.fleet.Close() // the error has no effect on the checks
	if err := invariant.Check(h); err != nil {
		t.Fatal(fmt.Sprintf("invariants: %v", err))
	}
}

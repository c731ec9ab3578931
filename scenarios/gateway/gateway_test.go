// Package gateway runs the scripts *.txtar. Gateway nodes run as processes against a stand-in for
// the users' platform, in which the scripts inject failures.
//
// At the end of each script the requests that the servers ran are checked: no upload ran twice, and
// no upload ran that was rejected as not run.
package gateway

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cherryward/cherryward/internal/daemon"
	"github.com/cherryward/cherryward/scenarios/processtest"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	key               = "script-key"
	awaitTimeout      = time.Minute
	pollEvery         = 10 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	eventInterval     = 5 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cherryward": func() {
			os.Exit(daemon.Main(os.Args))
		},
	})
}

// world is the state of one script.
type world struct {
	env   *testscript.Env
	site  *site.Site
	nodes map[string]*process
	wg    sync.WaitGroup

	mu       sync.Mutex
	requests int
	rejected []string // ids of uploads that were rejected as not run
}

// process is the process of a node.
type process struct {
	cmd   *exec.Cmd
	addr  string
	ended chan struct{}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s, err := site.Start(site.Config{HeartbeatInterval: heartbeatInterval, EventInterval: eventInterval})
			if err != nil {
				return err
			}
			s.Configure(1, key)
			w := &world{env: env, site: s, nodes: make(map[string]*process)}
			env.Values[worldKey{}] = w
			env.Defer(func() { w.close(env.T()) })
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"node":    command((*world).node),
			"ask":     command((*world).ask),
			"await":   command((*world).await),
			"signal":  command((*world).signal),
			"ended":   command((*world).ended),
			"store":   command((*world).store),
			"server":  command((*world).server),
			"weights": command((*world).weights),
			"keys":    command((*world).keys),
		},
	})
}

type worldKey struct{}

// command returns a script command that passes its arguments to a method.
func command(do func(w *world, words []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, words []string) {
		w, _ := ts.Value(worldKey{}).(*world)
		err := do(w, words)
		if neg == (err == nil) {
			ts.Fatalf("%v: %v", words, err)
		}
	}
}

func (w *world) close(t testscript.T) {
	for _, p := range w.nodes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails if it has exited
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	w.wg.Wait()
	runs := make(map[string]int)
	for _, r := range w.site.Plain.Runs() {
		if strings.HasPrefix(r.Target, site.PathUpload) {
			runs[r.Request]++
		}
	}
	w.site.Close()
	for id, n := range runs {
		if n > 1 {
			t.Fatal(fmt.Sprintf("upload %s ran %d times", id, n))
		}
	}
	for _, id := range w.rejected {
		if runs[id] > 0 {
			t.Fatal(fmt.Sprintf("upload %s was rejected as not run, but ran", id))
		}
	}
}

// node NAME [other] starts a node, of the other build if requested, and waits until it listens.
func (w *world) node(words []string) error {
	name := words[0]
	file := filepath.Join(w.env.WorkDir, name+".toml")
	if err := os.WriteFile(file, []byte(w.site.BootFile(name)), 0o600); err != nil {
		return err
	}
	build := "own"
	if len(words) > 1 {
		build = words[1]
	}
	program, err := processtest.Program(build)
	if err != nil {
		return err
	}
	p := &process{cmd: exec.Command(program, "run", "--boot", file), ended: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if addr, ok := processtest.CallersAddr(lines.Text()); ok {
			p.addr = addr
			break
		}
	}
	w.nodes[name] = p
	w.wg.Go(func() {
		_, _ = io.Copy(io.Discard, out) // ends with the process
		_ = p.cmd.Wait()                // ended checks the exit code
		close(p.ended)
	})
	if p.addr == "" {
		return fmt.Errorf("%s exited during startup", name)
	}
	return nil
}

// store sound|down|lossy|forgets sets the faults of the metadata store: none, unavailable, lost
// responses, or deleted history.
func (w *world) store(words []string) error {
	switch words[0] {
	case "sound":
		w.site.Store.SetFaults(metastore.Faults{})
	case "down":
		w.site.Store.SetFaults(metastore.Faults{Down: true})
	case "lossy":
		w.site.Store.SetFaults(metastore.Faults{LoseResponses: true})
	case "forgets":
		w.site.Store.Compact("keyed.op")
		w.site.Store.Compact("keyed.servers")
	default:
		return fmt.Errorf("unknown state %q", words[0])
	}
	return nil
}

// server NUMBER sound|shed|cut|lose|drain sets the faults of a model server, or of the plain server
// if NUMBER is "plain".
func (w *world) server(words []string) error {
	faults := map[string]modelserver.Faults{"sound": {}, "shed": {RejectRequests: true}, "cut": {CutAfter: 3}, "lose": {LoseResponse: true}}
	f, known := faults[words[1]]
	if words[0] == "plain" {
		w.site.Plain.SetFaults(f)
		return nil
	}
	i, err := strconv.Atoi(words[0])
	switch {
	case err != nil:
		return err
	case words[1] == "drain":
		w.site.Drain(i - 1)
	case !known:
		return fmt.Errorf("unknown state %q", words[1])
	default:
		w.site.Models[i-1].SetFaults(f)
	}
	return nil
}

// weights name N sets the target version; weights await N waits until all servers have loaded it.
func (w *world) weights(words []string) error {
	version, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return err
	}
	if words[0] == "name" {
		w.site.SetTargetVersion(version)
		return nil
	}
	return w.poll(func() bool {
		return !slices.ContainsFunc(w.site.Models, func(m *modelserver.Server) bool { return m.Version() != version })
	})
}

// keys VERSION KEY... writes a configuration with API keys; "own" stands for the key that the
// scripts' requests use.
func (w *world) keys(words []string) error {
	version, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		return err
	}
	var list []string
	for _, word := range words[1:] {
		if word == "own" {
			word = key
		}
		list = append(list, word)
	}
	w.site.Configure(version, list...)
	return nil
}

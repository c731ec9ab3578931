package scenarios

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/scenarios/processtest"
)

const (
	freePort   = "127.0.0.1:0"
	endLimit   = 30 * time.Second
	readyLimit = time.Second
)

// nodeProcess is the process of a node.
type nodeProcess struct {
	id        string
	domain    string
	callers   string // base URLs
	operators string
	peers     string // published peer address
	relay     *relay // nil unless relay=true
	cmd       *exec.Cmd
	ended     chan struct{}
	listening chan struct{}
	once      sync.Once
	stopped   atomic.Bool // killed or terminated
	frozen    atomic.Bool
	inService atomic.Bool // ready at the last check
	killed    atomic.Bool
}

// processes starts all processes from one OS thread. They are killed when this thread ends, so none
// is left over if the test is aborted.
var processes = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

func startProcess(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	processes() <- func() { done <- cmd.Start() }
	return <-done
}

// node starts a node, adds it to the host list and waits until it is ready, or only until it listens
// if ready=false.
func (w *world) node(a *args) error {
	id := a.word(0)
	n := &nodeProcess{id: id, domain: a.text("domain", "north"), ended: make(chan struct{}), listening: make(chan struct{})}
	ready := a.flag("ready", true)
	program, err := processtest.Program(a.text("build", "own"))
	if err != nil {
		return err
	}
	if a.flag("relay", false) {
		if n.relay, err = newRelay(); err != nil {
			return err
		}
	}
	file, err := w.writeSettings(n, a)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.env.WorkDir, fmt.Sprintf("%s-%d.log", id, len(w.order))))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(program, "run", "--settings", file)
	out, err := n.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := startProcess(n.cmd); err != nil {
		return err
	}
	w.wg.Go(func() { n.readLog(out, log) })
	w.add(n)
	select {
	case <-n.listening:
	case <-n.ended:
		text, _ := os.ReadFile(log.Name())
		return fmt.Errorf("node exited during startup: %s", text)
	}
	w.fleet.Hosts.Set(hostwire.Host{ID: id, Addr: n.peers, Domain: n.domain, State: hostwire.Live, Node: true})
	w.wg.Go(func() { w.watchNode(n) })
	w.setEnv(a)
	if ready && !w.poll(awaitLimit, func() bool { return n.ready(w.ctx) == http.StatusOK && w.sawAllNodes(n) }) {
		return fmt.Errorf("%s is not ready", id)
	}
	return nil
}

func (w *world) add(n *nodeProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[n.id] = n
	w.order = append(w.order, n)
}

// setEnv sets the environment variables by which cherryctl finds the running nodes.
func (w *world) setEnv(a *args) {
	servers := ""
	for _, n := range w.order {
		if !n.stopped.Load() {
			servers += "," + n.operators
		}
	}
	a.ts.Setenv("CHERRYCTL_SERVER", servers[min(1, len(servers)):])
	a.ts.Setenv("CHERRYCTL_TOKEN", demo.OperatorsKey)
	for id, n := range w.nodes {
		a.ts.Setenv(id, n.operators)
	}
}

func (w *world) writeSettings(n *nodeProcess, a *args) (string, error) {
	s := settings.Default()
	s.Node.ID = n.id
	s.Node.FailureDomain = n.domain
	s.Callers.Address = freePort
	s.Operators.Address = freePort
	s.Operators.KeyHash = config.HashKey(demo.OperatorsKey)
	s.Peers.Address = freePort
	s.Peers.Key = demo.PeersKey
	if n.relay != nil {
		s.Peers.Address, s.Peers.Advertise = n.relay.target, n.relay.addr()
	}
	s.Log.URL = w.fleet.LogURL
	s.Hosts.URL = w.fleet.HostsURL
	s.Hosts.PollInterval = settings.Duration(200 * time.Millisecond)
	s.KeptContext.ExportAfter = settings.Duration(50 * time.Millisecond)
	s.Requests.DrainGrace = settings.Duration(a.duration("grace", 500*time.Millisecond))
	s.Requests.EstimateTimeout = settings.Duration(a.duration("estimate", time.Duration(s.Requests.EstimateTimeout)))
	s.Requests.MaxBodyBytes = int64(a.number("body", int(s.Requests.MaxBodyBytes)))
	data, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	file := filepath.Join(w.env.WorkDir, n.id+".json")
	return file, os.WriteFile(file, data, 0o600)
}

const listeningEvent = " event=listening "

var addressField = regexp.MustCompile(`(callers|operators|peers)=(\S+)`)

// readLog copies the node's log, reads the listening addresses from it, and waits for the process
// to exit.
func (n *nodeProcess) readLog(out io.Reader, log io.WriteCloser) {
	defer close(n.ended)
	defer func() { _ = n.cmd.Wait() }() // ProcessState has the exit code
	defer log.Close()
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, mebibyte)
	for lines.Scan() {
		_, _ = fmt.Fprintln(log, lines.Text()) // for debugging only
		if strings.Contains(lines.Text(), listeningEvent) {
			n.setAddresses(lines.Text())
		}
	}
}

func (n *nodeProcess) setAddresses(event string) {
	for _, m := range addressField.FindAllStringSubmatch(event, -1) {
		switch m[1] {
		case "callers":
			n.callers = "http://" + m[2]
		case "operators":
			n.operators = "http://" + m[2]
		case "peers":
			n.peers = m[2]
		}
	}
	n.once.Do(func() { close(n.listening) })
}

var plainClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// ready returns the status of /readyz, or 0 if there is no response.
func (n *nodeProcess) ready(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.callers+"/readyz", nil)
	if err != nil {
		return 0
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// sawAllNodes reports whether a node considers all other running nodes alive.
func (w *world) sawAllNodes(n *nodeProcess) bool {
	ctx, cancel := context.WithTimeout(w.ctx, readyLimit)
	defer cancel()
	resp, err := demo.StatusClientAt(n.operators).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return false
	}
	alive := make(map[string]bool)
	for _, m := range resp.Msg.GetNodes() {
		alive[m.GetId()] = m.GetIncarnation() != 0 && m.GetState() == "alive"
	}
	for id, other := range w.nodes {
		if !other.stopped.Load() && !other.frozen.Load() && !alive[id] {
			return false
		}
	}
	return true
}

// find returns a node by its name; for not:NAME it returns the first running node with another
// name.
func (w *world) find(id string) (*nodeProcess, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if strings.HasPrefix(id, "not:") {
		for _, n := range w.order {
			if !n.stopped.Load() && matchesNode(id, n.id) {
				return n, nil
			}
		}
	}
	n, ok := w.nodes[id]
	if !ok {
		return nil, fmt.Errorf("no node %q", id)
	}
	return n, nil
}

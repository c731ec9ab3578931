package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/scenarios/processtest"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	key          = "review-key"
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	requestTime  = 2 * time.Second // for a request that only shows whether a node serves
)

// noted matches the lines of the nodes' logs that the record repeats, to show the cause of what is seen.
var noted = regexp.MustCompile(`event=(hangup|reload|reload_failed|requests_cut|run_lost|request_held|part_held)\b`)

// world is what a case runs: the stand-ins of the platform, the nodes, and the record of both.
type world struct {
	program string
	trouble bool
	dir     string // temporary
	began   time.Time

	mu     sync.Mutex
	record *os.File

	site    *site.Site
	nodes   []*node
	closers []func()
}

// node is the process of a node.
type node struct {
	name, boot, addr string
	cmd              *exec.Cmd
	ended            chan struct{}
}

func newWorld(program, record string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, dir: dir, began: time.Now(), record: file}
	w.logf("trouble: %v", trouble)
	return w, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, n := range w.running() {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
	for _, end := range w.closers {
		end()
	}
	if w.site != nil {
		w.site.Close()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// onClose has end called when the case is over.
func (w *world) onClose(end func()) { w.closers = append(w.closers, end) }

// silent returns a logger that writes nothing.
func (w *world) silent() *log.Logger { return log.New(io.Discard, "", 0) }

// start starts a node with the given text as its boot file, and waits until it serves.
func (w *world) start(name, boot string) (*node, error) {
	n := &node{name: name, boot: filepath.Join(w.dir, name+".toml"), ended: make(chan struct{})}
	if err := n.writeBoot(boot); err != nil {
		return nil, err
	}
	n.cmd = exec.Command(w.program, "run")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, platform.BootEnv + "=" + n.boot}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := n.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	w.setRunning(append(w.running(), n))
	lines := bufio.NewScanner(out)
	for n.addr == "" && lines.Scan() {
		n.addr, _ = processtest.CallersAddr(lines.Text())
	}
	go func() {
		for lines.Scan() {
			if noted.MatchString(lines.Text()) {
				w.logf("log of %s: %s", name, lines.Text())
			}
		}
		_, _ = io.Copy(io.Discard, out) // what follows a line that is too long
		_ = n.cmd.Wait()
		close(n.ended)
	}()
	if n.addr == "" {
		return nil, fmt.Errorf("%s ended while it started", name)
	}
	w.logf("started %s at %s", name, n.addr)
	return n, w.awaitServing(n)
}

// awaitServing waits until a node serves a request of each service.
func (w *world) awaitServing(n *node) error {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); time.Sleep(pollInterval) {
		if w.serves(n, site.PathLookup, "") && w.serves(n, site.PathSummary, "warm-up") {
			w.logf("%s serves", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s does not serve", n.name)
}

func (w *world) serves(n *node, path, session string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	req, err := site.Request(ctx, n.addr, http.MethodPost, path, key, "warm-up-"+time.Now().Format("150405.000000"), session)
	if err != nil {
		return false
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeBoot replaces the node's boot file in one step.
func (n *node) writeBoot(text string) error {
	next := n.boot + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.boot)
}

// running returns the nodes that the case has not ended.
func (w *world) running() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*node(nil), w.nodes...)
}

// setRunning replaces the list of these nodes.
func (w *world) setRunning(nodes []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = nodes
}

// signal sends a signal. It has no effect if the process has ended.
func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

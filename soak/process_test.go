package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/scenarios/processtest"
)

const (
	// At most nodesAtOnce nodes, or a fifth of all if that is more, have faults at the same time.
	nodesAtOnce = 2
	shareAtOnce = 5
)

// The signals of a sequence.
const (
	kill = iota
	terminate
	suspend
	hangUp
	signalCount // number of signals
)

// regularEnd is how a process ends after SIGTERM, whatever other signals it gets but SIGKILL.
const regularEnd = "exit status 0"

// process is the process of a node, which is restarted repeatedly.
type process struct {
	cmd          *exec.Cmd                  // set by the goroutine that claimed the process
	listening    atomic.Pointer[os.Process] // the latest process that listened
	addr         atomic.Pointer[string]
	ended        chan struct{}
	disturbances spans
	busy         bool   // claimed by a fault; guarded by world.mu
	link         *proxy // its own to the metadata store; nil if it has none
}

// start starts a node and waits until it listens. A node that starts is not connected.
func (w *world) start(i int) {
	p := w.nodes[i]
	defer p.disturbances.open()()
	file := filepath.Join(w.t.TempDir(), fmt.Sprint("n", i, ".toml"))
	must.NoError(w.t, os.WriteFile(file, []byte(w.bootFileOf(i)), 0o600))
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
		if addr, ok := processtest.CallersAddr(line); ok {
			p.addr.Store(&addr)
			break
		}
		must.NoError(w.t, err)
	}
	p.listening.Store(p.cmd.Process)
	cmd := p.cmd
	go func() {
		_, _ = io.Copy(w.log, lines) // ends with the process
		_ = cmd.Wait()               // whoever ends the process checks the exit status
		close(ended)
	}()
}

// signal sends a signal. It has no effect if the process has exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// signalNode sends a sequence of signals to a node, some of them before the effect of the previous
// one is complete, and restarts the node if it exits.
func (w *world) signalNode(target int, lasts time.Duration) {
	i := target % len(w.nodes)
	p := w.nodes[i]
	if !w.claim(p) {
		return
	}
	defer w.release(p)
	ends, killed, series := false, false, target/len(w.nodes)
	if series != hangUp { // the node stays connected
		defer p.disturbances.open()()
	}
	for n := series; ; n /= signalCount {
		switch n % signalCount {
		case kill:
			p.signal(syscall.SIGKILL)
			ends, killed = true, true
		case terminate:
			p.signal(syscall.SIGTERM)
			ends = true
		case suspend:
			p.signal(syscall.SIGSTOP)
			w.hold(2 * lasts)
			p.signal(syscall.SIGCONT)
		case hangUp:
			p.signal(syscall.SIGHUP)
		}
		if n < signalCount {
			break
		}
		w.hold(lasts / 4)
	}
	if ends {
		<-p.ended
		if !killed {
			test.Eq(w.t, regularEnd, p.cmd.ProcessState.String())
		}
		w.hold(lasts / 2)
		w.start(i)
	}
}

// reloadNodes sends SIGHUP to all nodes at about the same time, also to those that are stopping.
func (w *world) reloadNodes(int, time.Duration) {
	for _, p := range w.nodes {
		if started := p.listening.Load(); started != nil {
			_ = started.Signal(syscall.SIGHUP) // fails if it has ended
		}
	}
}

// claim reserves a node for a fault. It returns false if the node or too many others have faults.
func (w *world) claim(p *process) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	busy := 0
	for _, other := range w.nodes {
		if other.busy {
			busy++
		}
	}
	if w.reserved || p.busy || busy >= max(nodesAtOnce, len(w.nodes)/shareAtOnce) {
		return false
	}
	p.busy = true
	return true
}

func (w *world) release(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.busy = false
}

package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shoenig/test/must"
)

// process is one node, started again and again.
type process struct {
	mu    sync.Mutex
	cmd   *exec.Cmd
	addr  atomic.Pointer[string]
	ended chan struct{}
	busy  bool // being harmed
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

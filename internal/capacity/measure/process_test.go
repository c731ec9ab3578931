package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/settings"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// listening identifies the log line with a node's addresses.
const listening = " event=listening "

var address = regexp.MustCompile(` (callers|peers)=(\S+)`)

// Process is one node process.
type Process struct {
	ID      string
	callers string // address
	peers   string // address
	cmd     *exec.Cmd
	ended   chan error
}

// Command returns the command that runs a node with a settings file.
type Command func(settingsFile string) *exec.Cmd

// start starts a node process and waits until it listens.
func start(command Command, dir string, s settings.Settings) (*Process, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	file := filepath.Join(dir, s.Node.ID+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	p := &Process{ID: s.Node.ID, cmd: command(file), ended: make(chan error, 1)}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, eris.Wrap(err, "open pipe")
	}
	if err := launch(p.cmd); err != nil {
		return nil, eris.Wrap(err, "start node")
	}
	up := make(chan string, 1)
	go func() {
		readLog(out, up)
		p.ended <- p.cmd.Wait()
	}()
	select {
	case line := <-up:
		if !strings.Contains(line, listening) {
			return nil, eris.Errorf("node %s exited during its start: %s", p.ID, line)
		}
		p.setAddresses(line)
		return p, nil
	case <-time.After(startTimeout):
		return nil, eris.Errorf("node %s did not start to listen in time", p.ID)
	}
}

func (p *Process) setAddresses(line string) {
	for _, m := range address.FindAllStringSubmatch(line, -1) {
		if m[1] == "callers" {
			p.callers = m[2]
		} else {
			p.peers = m[2]
		}
	}
}

// launcher starts processes from one thread. The kernel kills them when that thread ends, so that
// none is left over if this process is killed.
var launcher = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

func launch(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	launcher() <- func() { done <- cmd.Start() }
	return <-done
}

// readLog reads a node's log until it ends. It sends the line with the node's addresses to up, or the
// last line if there is no such line.
func readLog(out io.Reader, up chan<- string) {
	lines := bufio.NewScanner(out)
	last, found := "", false
	for lines.Scan() {
		last = lines.Text()
		if !found && strings.Contains(last, listening) {
			found = true
			up <- last
		}
	}
	if !found {
		up <- last
	}
}

// stop stops the process gracefully, and kills it after stopTimeout.
func (p *Process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrap(err, "stop node")
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	select {
	case err := <-p.ended:
		return err
	case <-ctx.Done():
		return p.cmd.Process.Kill()
	}
}

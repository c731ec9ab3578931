package gateway

import (
	"fmt"
	"strconv"
	"syscall"

	"github.com/cherryward/cherryward/scenarios/processtest"
)

// signalsByName are the signals that scripts send.
var signalsByName = map[string]syscall.Signal{"term": syscall.SIGTERM, "kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "hup": syscall.SIGHUP}

// signal NODE NAME sends a signal to a node. For freeze it waits until the process is stopped.
func (w *world) signal(words []string) error {
	process := w.nodes[words[0]].cmd.Process
	if err := process.Signal(signalsByName[words[1]]); err != nil || words[1] != "freeze" {
		return err
	}
	return processtest.AwaitStop(process.Pid)
}

// ended NODE CODE waits until a node exits, and checks its exit code.
func (w *world) ended(words []string) error {
	p := w.nodes[words[0]]
	<-p.ended
	if code := p.cmd.ProcessState.ExitCode(); strconv.Itoa(code) != words[1] {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}

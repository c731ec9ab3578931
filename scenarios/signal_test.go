package scenarios

import (
	"fmt"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/scenarios/processtest"
)

// signal sends a signal to each node that is named.
func (w *world) signal(a *args, s syscall.Signal, before func(n *nodeProcess)) error {
	for _, id := range a.words {
		n, err := w.find(id)
		if err != nil {
			return err
		}
		before(n)
		if err := n.cmd.Process.Signal(s); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
	}
	return nil
}

// crash ends nodes at once; the list of hosts learns of it later.
func (w *world) crash(a *args) error {
	err := w.signal(a, syscall.SIGKILL, func(n *nodeProcess) { n.gone.Store(true); n.killed.Store(true); n.inService.Store(false) })
	for _, id := range a.words {
		if n := w.nodes[id]; n != nil {
			<-n.ended
		}
	}
	return err
}

// freeze stops nodes and waits until they are stopped.
func (w *world) freeze(a *args) error {
	if err := w.signal(a, syscall.SIGSTOP, func(n *nodeProcess) { n.frozen.Store(true) }); err != nil {
		return err
	}
	for _, id := range a.words {
		n, err := w.find(id)
		if err != nil {
			return err
		}
		if err := processtest.AwaitStop(n.cmd.Process.Pid); err != nil {
			return fmt.Errorf("%s did not stop: %w", id, err)
		}
	}
	return nil
}

func (w *world) thaw(a *args) error {
	return w.signal(a, syscall.SIGCONT, func(n *nodeProcess) { n.frozen.Store(false) })
}

// term stops nodes gracefully, waits for their ends and takes them off the list
// of hosts. Each must exit with code 0.
func (w *world) term(a *args) error {
	if err := w.signal(a, syscall.SIGTERM, func(n *nodeProcess) { n.gone.Store(true) }); err != nil {
		return err
	}
	if a.background {
		return nil
	}
	for _, id := range a.words {
		n := w.nodes[id]
		if err := n.awaitEnd(); err != nil {
			return err
		}
		w.fleet.Hosts.Remove(id)
	}
	return nil
}

func (n *nodeProcess) awaitEnd() error {
	select {
	case <-n.ended:
	case <-time.After(endLimit):
		return fmt.Errorf("%s did not stop", n.id)
	}
	if code := n.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s: exit code %d", n.id, code)
	}
	return nil
}

// end kills the process where it still runs.
func (n *nodeProcess) end() {
	n.gone.Store(true)
	_ = n.cmd.Process.Kill() // an error means that it has ended
	<-n.ended
	if n.relay != nil {
		n.relay.close()
	}
}

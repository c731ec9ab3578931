package scenarios

import (
	"fmt"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/scenarios/processtest"
)

// signal sends a signal to each named node, and calls before for each of them first.
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

// crash kills nodes and waits until they have exited. The host list is not updated.
func (w *world) crash(a *args) error {
	err := w.signal(a, syscall.SIGKILL, func(n *nodeProcess) { n.stopped.Store(true); n.killed.Store(true); n.inService.Store(false) })
	for _, id := range a.words {
		if n := w.nodes[id]; n != nil {
			<-n.ended
		}
	}
	return err
}

// freeze suspends nodes and waits until they are stopped.
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
			return fmt.Errorf("%s was not suspended: %w", id, err)
		}
	}
	return nil
}

func (w *world) thaw(a *args) error {
	return w.signal(a, syscall.SIGCONT, func(n *nodeProcess) { n.frozen.Store(false) })
}

// hup sends SIGHUP to nodes, which must survive it, whether they are running or stopping.
func (w *world) hup(a *args) error { return w.signal(a, syscall.SIGHUP, func(*nodeProcess) {}) }

// term terminates nodes gracefully, waits until they have exited and removes them from the host
// list. Each must exit with code 0.
func (w *world) term(a *args) error {
	if err := w.signal(a, syscall.SIGTERM, func(n *nodeProcess) { n.stopped.Store(true) }); err != nil {
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
		return fmt.Errorf("%s did not exit", n.id)
	}
	if code := n.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s: exit code %d", n.id, code)
	}
	return nil
}

// kill kills the process if it is running, and waits until it has exited.
func (n *nodeProcess) kill() {
	n.stopped.Store(true)
	_ = n.cmd.Process.Kill() // fails if it has exited already
	<-n.ended
	if n.relay != nil {
		n.relay.close()
	}
}

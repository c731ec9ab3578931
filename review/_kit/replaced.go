package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// machines is the number of nodes, as on the sheet of a small site.
	machines = 7
	// replacePause is the time between two replacements of a node.
	replacePause = 3 * time.Second
	// stopWait is how long a node may take to stop.
	stopWait = 9 * time.Second
	// versionLimit and allServersLimit are the bounds of the sheet on new weights.
	versionLimit    = 12 * time.Second
	allServersLimit = 17 * time.Second
	// watchTime is how long the servers are watched after the weights were named.
	watchTime = 30 * time.Second
	// oldShare is the part of the servers that may still have older weights at allServersLimit.
	oldShare = 10
	// sheetLease is the lease of the sheet.
	sheetLease = 3 * time.Second
)

// replacedNodes replaces all nodes of a small system in turn by others with new names and addresses, names new weights,
// and kills the node that orders the servers to load them. Another one must go on soon enough.
func replacedNodes(w *world) (broken bool, err error) {
	seen := &orders{added: make(chan struct{}, 1)}
	bounds := site.DefaultBounds()
	bounds.Lease, bounds.Version, bounds.VersionAll = sheetLease, versionLimit, allServersLimit
	w.site, err = site.Start(site.Config{
		HeartbeatInterval: time.Second, EventInterval: 5 * time.Millisecond, Bounds: bounds, Releases: make([]string, engines),
		Loads: &modelserver.Loads{Time: loadTime, AtOnce: atOnce}, Proxy: func(addr string) (string, error) { return w.watchOrders(addr, seen) },
	})
	if err != nil {
		return false, err
	}
	w.site.Configure(1, key)
	for i := range machines {
		if _, err := w.start(machineName(i), w.site.BootFile(machineName(i))); err != nil {
			return false, err
		}
	}
	if w.trouble {
		if err := w.replaceAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	return w.loseHolder(seen)
}

// machineName returns the name of a node, those of the replacements after the others.
func machineName(i int) string { return fmt.Sprintf(machineFormat, i+1) }

// machineFormat is the form of the nodes' names.
const machineFormat = "edge-%02d"

// replaceAll replaces the nodes in turn: the new one starts, then the old one gets SIGTERM.
func (w *world) replaceAll() error {
	for i, old := range w.running() {
		began := time.Now()
		name := machineName(machines + i)
		if _, err := w.start(name, w.site.BootFile(name)); err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
		w.logf("SIGTERM to %s, for good", old.name)
		time.Sleep(replacePause - time.Since(began))
	}
	for _, old := range w.running()[:machines] {
		select {
		case <-old.ended:
		case <-time.After(stopWait):
			return fmt.Errorf("%s has not ended", old.name)
		}
	}
	w.setRunning(w.running()[machines:])
	return nil
}

// loseHolder names new weights, kills the node that gives the first order, and reports whether too many servers have
// older weights at the bound.
func (w *world) loseHolder(seen *orders) (broken bool, err error) {
	named := time.Now()
	w.site.SetTargetVersion(2)
	w.logf("weights 2 named")
	first, err := seen.await(func(order) bool { return true })
	if err != nil {
		return false, err
	}
	for _, n := range w.running() {
		if n.name == first.holder {
			n.signal(syscall.SIGKILL)
			w.logf("SIGKILL to %s, %.2f s after the weights were named", n.name, time.Since(named).Seconds())
		}
	}
	old := engines
	for old > 0 && time.Since(named) < watchTime {
		time.Sleep(pollInterval)
		now := w.countOld()
		if now != old {
			w.logf("%d of %d servers have older weights %.2f s after newer ones were named", now, engines, time.Since(named).Seconds())
		}
		if time.Since(named) >= allServersLimit && !broken {
			if broken = now > 1 && now*oldShare > engines; broken {
				w.logf("%d of %d servers have older weights at the bound of %v", now, engines, allServersLimit)
			}
		}
		old = now
	}
	for _, o := range seen.all() {
		w.logf("at %.2f s: order of %s to %s, token %v", o.at.Sub(named).Seconds(), o.holder, o.server, o.token)
	}
	return broken, w.askOnce()
}

// countOld returns the number of model servers without the new weights.
func (w *world) countOld() (old int) {
	for _, s := range w.site.Models {
		if s.Version() < 2 {
			old++
		}
	}
	return old
}

// askOnce records what the nodes that are left answer to a prompt at the end.
func (w *world) askOnce() error {
	for _, n := range w.running() {
		select {
		case <-n.ended:
			continue
		default:
		}
		w.logf("%s serves a prompt: %v", n.name, w.serves(n, site.PathSummary, "at the end "+http.MethodPost))
	}
	return nil
}

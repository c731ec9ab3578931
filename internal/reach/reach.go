// Package reach decides whether this node has a network path to the endpoints of a service.
//
// A node that is partitioned from all endpoints sees the same failures as one whose endpoints have
// ended. The tracker collects the results of this node's connection attempts. When attempts to several
// endpoints of a service failed and none succeeded since, it asks for probes of other endpoints; only if
// these fail, too, the service counts as unreachable from here. Whether it is reachable from elsewhere
// is for other nodes to say.
//
// Connections that are already open are no evidence: in some partitions they go on working while
// new ones are refused.
package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// suspectAfter is the number of endpoints of a service to which connection attempts must fail,
	// without a success in between, before the service is suspected to be unreachable. One endpoint
	// that ended is no sign of a partition.
	suspectAfter = 2
	// failureLifetime is the time after which a failed attempt is ignored.
	failureLifetime = 3 * time.Second
	// probesPerRound is the maximum number of endpoints that are probed at the same time. All must
	// fail for the service to count as unreachable.
	probesPerRound = 4
	// recoveryProbes is the number of endpoints of an unreachable service that are probed each
	// recoveryInterval, to notice that the path is back.
	recoveryProbes   = 2
	recoveryInterval = 250 * time.Millisecond
)

// State is whether a service's endpoints can be reached from this node.
type State int

const (
	// Reachable means that there is no evidence against a path.
	Reachable State = iota
	// Suspected means that attempts to several endpoints failed, and that probes are due or in
	// progress.
	Suspected
	// Unreachable means that the probes failed, too.
	Unreachable
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{Reachable: "reachable", Suspected: "suspected", Unreachable: "unreachable"}[s]
}

// Change is a change of a service's state.
type Change struct {
	Service  string
	From, To State
	// Failed is the number of endpoints to which attempts failed since the last success.
	Failed int
	// Lasted is the time since the previous change; 0 if there was none.
	Lasted time.Duration
}

// Tracker tracks the paths to services. The zero value regards all of them as reachable. It is safe for
// concurrent use.
type Tracker struct {
	// OnChange, if not nil, is called after each change of a state. It must not call the Tracker.
	OnChange func(Change)

	mu    sync.Mutex
	paths map[string]*path // by service
}

// path is the path to one service.
type path struct {
	state     State
	changedAt time.Time
	// failed holds when the latest attempt to each address failed, without a success of any since.
	failed  map[string]time.Time
	probing bool      // a round of probes is in progress
	probeAt time.Time // when the next round is due; zero means at once
}

// RecordSuccess records that a connection to an endpoint of a service was established.
func (t *Tracker) RecordSuccess(service string, now time.Time) {
	t.mu.Lock()
	p := t.paths[service]
	if p == nil {
		t.mu.Unlock()
		return
	}
	change, changed := p.set(service, Reachable, now)
	delete(t.paths, service)
	t.mu.Unlock()
	t.report(change, changed)
}

// RecordFailure records that a connection to an endpoint of a service, at addr, could not be
// established. known is the number of the service's known endpoints.
func (t *Tracker) RecordFailure(service, addr string, known int, now time.Time) {
	t.mu.Lock()
	p := t.paths[service]
	if p == nil {
		if t.paths == nil {
			t.paths = make(map[string]*path)
		}
		p = &path{failed: make(map[string]time.Time)}
		t.paths[service] = p
	}
	p.recordFailure(addr, now)
	var change Change
	changed := false
	if p.state == Reachable && len(p.failed) >= min(suspectAfter, known) {
		change, changed = p.set(service, Suspected, now)
	}
	t.mu.Unlock()
	t.report(change, changed)
}

func (p *path) recordFailure(addr string, now time.Time) {
	for other, at := range p.failed {
		if now.Sub(at) > failureLifetime {
			delete(p.failed, other)
		}
	}
	p.failed[addr] = now
}

// set changes the state, and reports whether it was another one before.
func (p *path) set(service string, to State, now time.Time) (Change, bool) {
	if p.state == to {
		return Change{}, false
	}
	c := Change{Service: service, From: p.state, To: to, Failed: len(p.failed)}
	if !p.changedAt.IsZero() {
		c.Lasted = now.Sub(p.changedAt)
	}
	p.state, p.changedAt = to, now
	return c, true
}

func (t *Tracker) report(c Change, changed bool) {
	if changed && t.OnChange != nil {
		t.OnChange(c)
	}
}

// State returns the state of a service.
func (t *Tracker) State(service string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[service]; p != nil {
		return p.state
	}
	return Reachable
}

// Unreachable returns the services that are unreachable, sorted.
func (t *Tracker) Unreachable() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for service, p := range t.paths {
		if p.state == Unreachable {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

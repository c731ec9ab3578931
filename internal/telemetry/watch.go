package telemetry

import (
	"sync"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/rollout"
)

// memberStates holds the states by which members are counted.
var memberStates = []member.State{member.Alive, member.Suspect, member.Leaving, member.Dead}

// WatchMembers registers the number of members by state.
func (m *Metrics) WatchMembers(view func() member.View) {
	for _, state := range memberStates {
		m.set.NewGauge(nameMembers+`{state="`+state.String()+`"}`, func() float64 {
			return float64(countMembers(view(), state))
		})
	}
}

func countMembers(view member.View, state member.State) int {
	n := 0
	for _, known := range view.Members {
		if known.State == state {
			n++
		}
	}
	return n
}

// WatchPeers registers the traffic with other nodes.
func (m *Metrics) WatchPeers(traffic *peers.Traffic) {
	m.set.NewGauge(namePeerSent, func() float64 { return float64(traffic.Sent.Load()) })
	m.set.NewGauge(namePeerReceived, func() float64 { return float64(traffic.Received.Load()) })
	m.set.NewGauge(namePeerCalls, func() float64 { return float64(traffic.Calls.Load()) })
}

// WatchConfig registers the offsets and the age of the node's configuration.
func (m *Metrics) WatchConfig(status func() changelog.FollowerStatus) {
	m.set.NewGauge(nameConfigApplied, func() float64 { return float64(status().Applied) })
	m.set.NewGauge(nameConfigKnown, func() float64 { return float64(status().NewestKnown) })
	m.set.NewGauge(nameConfigLogAge, func() float64 { return status().LogAge.Seconds() })
	m.set.NewGauge(nameConfigSilence, func() float64 { return status().ContactAge.Seconds() })
	m.set.NewGauge(nameConfigReady, func() float64 { return boolToFloat(status().Ready && !status().Stale) })
}

// WatchRollout registers the counts of orders to engines and of records appended to the
// log for claims.
func (m *Metrics) WatchRollout(counts *rollout.Counters, appends func() int64) {
	gauge := func(name string, value func() int64) {
		m.set.NewGauge(name, func() float64 { return float64(value()) })
	}
	gauge(nameOrders+`{kind="load"}`, counts.Loads.Load)
	gauge(nameOrders+`{kind="unload"}`, counts.Unloads.Load)
	gauge(nameOrdersUncertain, counts.Uncertain.Load)
	gauge(nameRolloutsUndone, counts.Undone.Load)
	gauge(nameClaims, appends)
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// WatchOwned registers the number of endpoints that the node owns, the runs on them, and
// the changes of ownership. Changes are counted when the metrics are read, so one that
// is reversed between two reads is not counted.
func (m *Metrics) WatchOwned(owned func() []*pb.EndpointStatus) {
	changes := &ownerChanges{counter: m.set.NewCounter(nameOwnerChanges).Add}
	m.set.NewGauge(nameOwnedEndpoints, func() float64 {
		now := owned()
		changes.update(now)
		return float64(len(now))
	})
	m.set.NewGauge(nameGrantedRuns, func() float64 { return sumRuns(owned(), (*pb.EndpointStatus).GetRunning) })
	m.set.NewGauge(nameWaitingRuns, func() float64 { return sumRuns(owned(), (*pb.EndpointStatus).GetWaiting) })
}

func sumRuns(endpoints []*pb.EndpointStatus, of func(*pb.EndpointStatus) int32) float64 {
	total := 0.0
	for _, e := range endpoints {
		total += float64(of(e))
	}
	return total
}

// ownerChanges counts the endpoints that this node gained or lost.
type ownerChanges struct {
	counter func(int)

	mu    sync.Mutex
	owned map[string]struct{}
}

func (c *ownerChanges) update(endpoints []*pb.EndpointStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := make(map[string]struct{}, len(endpoints))
	kept := 0
	for _, e := range endpoints {
		now[e.GetName()] = struct{}{}
		if _, had := c.owned[e.GetName()]; had {
			kept++
		}
	}
	c.counter(len(now) + len(c.owned) - 2*kept)
	c.owned = now
}

package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// idleTimeout is how long a connection to an engine stays open without requests, and maxIdle the
	// number of idle ones that a node keeps for each engine, as in internal/upstream.
	idleTimeout = 30 * time.Second
	maxIdle     = 32
	// nodeSeeds is the first random stream of the nodes' placers. The streams before it are those of
	// callers, of their nodes, of slow spells and of lost notices.
	nodeSeeds = 16
)

// node is a gateway node with its own view of the engines' loads.
type node struct {
	world       *World
	name        string
	domain      *failureDomain
	fleet       *fleet.Fleet
	placer      *placer.Placer
	table       *peerload.Table
	seq         int64                   // of the newest digest
	busy        []*fleet.Member         // engines that may have requests of this node
	connections map[string]*connections // by engine
}

// failureDomain is a group of nodes that exchange load reports through a collector.
type failureDomain struct {
	name      string
	nodes     []*node
	collector *peerload.Table // in a large system only
	seq       int64           // of the newest aggregate or load of the domain
}

// connections are the idle connections of a node to an engine.
type connections struct {
	idle  int
	until time.Time // when the most recently used one is closed
}

// domainName returns the name of a failure domain.
func (w *World) domainName(i int) string {
	if len(w.domains) == 1 {
		return domain
	}
	return fmt.Sprintf("d%d", i)
}

// addDomains creates the failure domains.
func (w *World) addDomains() {
	w.domains = make([]*failureDomain, min(max(w.Domains, 1), max(w.Nodes, 1)))
	for i := range w.domains {
		w.domains[i] = &failureDomain{name: w.domainName(i), collector: peerload.NewTable()}
	}
}

// addNodes creates the nodes, spread evenly over the failure domains.
func (w *World) addNodes() {
	for i := range max(w.Nodes, 1) {
		d := w.domains[i%len(w.domains)]
		n := &node{world: w, name: fmt.Sprintf("n%03d", i), domain: d, table: peerload.NewTable(), connections: make(map[string]*connections)}
		if w.ReportAge <= 0 && i > 0 {
			n.fleet = w.nodes[0].fleet
		} else {
			n.fleet = w.newFleet()
		}
		n.placer = w.newPlacer(n, i)
		d.nodes, w.nodes = append(d.nodes, n), append(w.nodes, n)
	}
	for _, m := range w.nodes[0].fleet.Members(service) {
		w.engines[m.ID].member = m
	}
}

// newFleet returns a fleet of all engines without requests.
func (w *World) newFleet() *fleet.Fleet {
	f := fleet.New(zerolog.Nop())
	f.UpdateBatch(func() {
		for i, c := range w.Engines {
			f.Update(&fleet.Endpoint{
				ID: engineID(i), Service: service, Addr: engineAddr(i), Domain: w.domains[i%len(w.domains)].name, Slots: c.Slots,
				Weights: []fleet.Weights{{Model: model, Version: 1}},
			}, w.now)
		}
	})
	return f
}

func engineID(i int) string { return fmt.Sprintf("e%02d", i) }

// engineAddr returns the address of an engine.
func engineAddr(i int) string {
	const perNet = 255
	return fmt.Sprintf("10.0.%d.%d:1", i/perNet, i%perNet+1)
}

func (w *World) newPlacer(n *node, number int) *placer.Placer {
	p := &placer.Placer{
		Domain: n.domain.name, Fleet: n.fleet, Versions: versions{}, KVIndex: w.index, PeerLoads: n.table, RequestReport: func() {},
		CommonDelay: &kvindex.Lateness{}, FullMesh: func() bool { return !w.large() }, MayReference: func(kvindex.Salt) bool { return true },
		Closed:            func() []weights.Closed { return nil },
		VersionApplyLimit: func() time.Duration { return time.Minute },
		Services:          &placer.Services{}, Nodes: func() int { return max(w.Nodes, 1) },
		Now: func() time.Time { return w.now }, Random: w.random.Float64, Tuning: w.Tuning,
	}
	if w.Nodes <= 1 {
		return p
	}
	p.Random = rand.New(rand.NewPCG(w.Seed, uint64(nodeSeeds+number))).Float64
	p.Connected = func(m *fleet.Member, now time.Time) bool {
		c := n.connections[m.ID]
		return c != nil && c.idle > 0 && now.Before(c.until)
	}
	if w.ReportAge > 0 {
		p.ReportLag = func() (int, time.Duration) { return w.reporters(n) - 1, w.ReportAge }
	}
	return p
}

// large reports whether nodes send their load reports to collectors, as in a system of many nodes.
func (w *World) large() bool { return w.ReportAge > 0 && !intervals.FullMesh(w.Nodes) }

// reporters returns the number of nodes whose loads are summed in a node's view.
func (w *World) reporters(n *node) int {
	if w.large() {
		return len(n.domain.nodes)
	}
	return len(w.nodes)
}

// send counts a request to an engine, takes an idle connection there and notifies other nodes.
func (n *node) send(m *fleet.Member, promptTokens, heldTokens int) {
	if m.Load.Running() == 0 && !slices.Contains(n.busy, m) {
		n.busy = append(n.busy, m)
	}
	m.Load.Begin(promptTokens, heldTokens)
	n.connect(m.ID)
	n.notify()
}

// connect takes an idle connection to an engine, if there is one.
func (n *node) connect(engine string) {
	if c := n.connections[engine]; c != nil && c.idle > 0 {
		c.idle--
	}
}

// disconnect keeps the connection of a complete request.
func (n *node) disconnect(engine string) {
	c := n.connections[engine]
	if c == nil {
		c = &connections{}
		n.connections[engine] = c
	}
	if !n.world.now.Before(c.until) {
		c.idle = 0
	}
	c.idle, c.until = min(c.idle+1, maxIdle), n.world.now.Add(idleTimeout)
}

// closeConnections closes all idle connections to an engine that crashed.
func (w *World) closeConnections(engine string) {
	for _, n := range w.nodes {
		delete(n.connections, engine)
	}
}

package peerload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/weights"
)

// messageLatency is the latency of a message between two nodes.
const messageLatency = time.Millisecond

// network delivers messages between nodes in virtual time.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*networkNode
}

// networkNode is a simulated node with its exchange and engines.
type networkNode struct {
	*Exchange
	net      *network
	addr     netip.AddrPort
	handlers map[string]datagram.Handler
	fleet    *fleet.Fleet
	domain   string
	index    int
	stop     context.CancelFunc

	mu          sync.Mutex
	down        bool
	leads       bool
	closed      []weights.Closed
	represented []string  // the nodes that it represents, if set by the test
	slow        []Slow    // engines that are slow by its own observation
	brittle     []Brittle // services whose endpoints reported to it
	heard       int       // reports of brittle services that other nodes received
	received    int       // messages received
	sent        int       // messages sent
	sentBytes   int       // bytes of these messages
	maxSend     int       // bytes of the largest send to several nodes
	loses       string    // the method whose messages to this node are lost, if set by the test
}

var _ Conn = (*networkNode)(nil)

// Addr implements Conn.
func (n *networkNode) Addr() string { return n.addr.String() }

// Handle implements Conn.
func (n *networkNode) Handle(method string, h datagram.Handler) {
	if n.handlers == nil {
		n.handlers = make(map[string]datagram.Handler)
	}
	n.handlers[method] = h
}

// Notify implements Conn.
func (n *networkNode) Notify(peers []netip.AddrPort, method string, params any) int {
	data, err := json.Marshal(params)
	if err != nil || n.isDown() {
		return 0
	}
	n.mu.Lock()
	n.sent += len(peers)
	n.sentBytes += len(peers) * len(data)
	n.maxSend = max(n.maxSend, len(peers)*len(data))
	n.mu.Unlock()
	time.AfterFunc(messageLatency, func() {
		for _, to := range peers {
			n.net.at(to).receive(method, data)
		}
	})
	return len(peers) * len(data)
}

func (w *network) at(addr netip.AddrPort) *networkNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[addr]
}

func (n *networkNode) receive(method string, data []byte) {
	if n.isDown() {
		return
	}
	n.mu.Lock()
	n.received++
	lost := n.loses == method
	n.mu.Unlock()
	if lost {
		return
	}
	_, _ = n.handlers[method](data)
}

func (n *networkNode) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// kill stops the node.
func (n *networkNode) kill() {
	n.mu.Lock()
	n.down = true
	n.mu.Unlock()
	n.stop()
}

// orders returns the engines that the node closes and whether it holds the claim.
func (n *networkNode) orders() ([]weights.Closed, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed, n.leads
}

// slowEngines returns the engines that are slow by the node's own observation.
func (n *networkNode) slowEngines() []Slow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.slow)
}

// observeSlow sets the engines that are slow by the node's own observation.
func (n *networkNode) observeSlow(list ...Slow) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = list
}

// represent makes the node represent other nodes of its domain.
func (n *networkNode) represent(others []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.represented = others
}

// neighbours returns the nodes that the node represents.
func (n *networkNode) neighbours() Neighbours {
	n.mu.Lock()
	others := n.represented
	n.mu.Unlock()
	if others == nil {
		return Neighbours{Represents: n.role().Collects}
	}
	return Neighbours{Others: others, Represents: true}
}

// role returns the node's role, which depends on its position among the live nodes of its failure
// domain: the first two collect and the next two stand by.
func (n *networkNode) role() Role {
	var role Role
	live, own := 0, -1
	for _, o := range n.net.domain(n.domain) {
		if o == n {
			own = live
			continue
		}
		if !n.Table.ReceivedFrom(o.config.Node, time.Now(), time.Second) {
			continue
		}
		if live++; own < 0 && live <= 2 || own >= 0 && own < 2 && live < 2 {
			role.Collectors = append(role.Collectors, o.addr)
		}
	}
	role.Collects, role.StandsBy = own < 2, own >= 2 && own < 4
	return role
}

// domain returns the nodes of a failure domain in ascending order of their index.
func (w *network) domain(name string) []*networkNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*networkNode
	for i := range len(w.nodes) {
		if n := w.nodes[addrOf(i)]; n.domain == name {
			list = append(list, n)
		}
	}
	return list
}

// domains returns the names of all failure domains.
func (w *network) domains() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make(map[string]bool)
	for _, n := range w.nodes {
		names[n.domain] = true
	}
	return names
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 7)
}

// newNetwork starts the given number of nodes in the given number of failure domains, all with the
// same engines.
func newNetwork(t *testing.T, nodes, domains, engines int) *network {
	t.Helper()
	w := &network{nodes: make(map[netip.AddrPort]*networkNode)}
	var peers []Peer
	for i := range nodes {
		n := &networkNode{net: w, addr: addrOf(i), fleet: fleet.New(zerolog.Nop()), domain: fmt.Sprint("d", i%domains), index: i}
		n.fleet.UpdateBatch(func() {
			for j := range engines {
				n.fleet.Update(&fleet.Endpoint{
					ID: fmt.Sprintf("i-%010d", j), Service: "s", Addr: "127.0.0.1:1", Domain: fmt.Sprint("d", j%domains),
					Weights: []fleet.Weights{{Model: "m", Version: 1}},
				}, time.Now())
			}
		})
		n.Exchange = New(Config{
			Node: fmt.Sprint("n", i), Domain: n.domain, Conn: n, Log: zerolog.Nop(), Members: n.fleet.All, Member: n.fleet.Member,
			Late: func() []Late { return nil }, Slow: n.slowEngines, References: func() []OldestReferenced { return []OldestReferenced{{Model: "m", Oldest: 1}} },
			Neighbours: n.neighbours, Orders: n.orders, Role: n.role, Brittle: n.brittleServices, ApplyBrittle: n.hearBrittle,
		})
		w.nodes[n.addr] = n
		peers = append(peers, Peer{Node: n.config.Node, Addr: n.Addr(), Domain: n.domain})
	}
	for _, n := range w.nodes {
		n.SetPeers(peers)
		ctx, cancel := context.WithCancel(t.Context())
		n.stop = cancel
		go func() { _ = n.Run(ctx) }()
	}
	return w
}

// stop stops all nodes. It must be called before the synctest bubble ends.
func (w *network) stop() {
	for _, n := range w.nodes {
		n.stop()
	}
}

// startRequest starts a request at an engine and has the exchange report it.
func (n *networkNode) startRequest(engine string) {
	for _, m := range n.fleet.All() {
		if m.ID == engine {
			m.Load.Begin(100, 1000)
		}
	}
	n.RequestReport()
}

// forEachLive calls f with each node that is not down.
func (w *network) forEachLive(f func(*networkNode)) {
	for i := range len(w.nodes) {
		if n := w.nodes[addrOf(i)]; !n.isDown() {
			f(n)
		}
	}
}

// runNetwork runs a test with a network in virtual time, after 3 s for the nodes to settle.
func runNetwork(t *testing.T, nodes, domains, engines int, run func(t *testing.T, w *network)) {
	t.Helper()
	must.Positive(t, domains)
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t, nodes, domains, engines)
		defer func() {
			w.stop()
			time.Sleep(2 * time.Second)
		}()
		time.Sleep(3 * time.Second)
		run(t, w)
	})
}

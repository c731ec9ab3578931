package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// network simulates the network between nodes in one process, and the topic.
type network struct {
	t    *testing.T
	seed uint64
	loss float64 // share of messages lost

	mu       sync.Mutex
	nodes    map[netip.AddrPort]*node
	records  map[string][]byte
	writes   int
	down     bool // writes to the topic fail
	messages int
	// sent counts the messages between two nodes. Whether a message is lost depends on this number, and
	// not on the order in which goroutines run.
	sent  map[string]int
	bytes int
	// maxReadDelay is the maximum time after a write until a node of a large system reads it through
	// another node; 0 means that all nodes read it immediately.
	maxReadDelay time.Duration
}

// node is a service and its connection to the network.
type node struct {
	*Service
	net          *network
	name         string
	addr         netip.AddrPort
	handle       datagram.Handler
	disconnected bool // disconnected from the other nodes
	stop         context.CancelFunc
}

var (
	_ Conn  = (*node)(nil)
	_ Topic = (*network)(nil)
)

func (n *node) Handle(_ string, h datagram.Handler) { n.handle = h }

func (n *node) Notify(peers []netip.AddrPort, _ string, params any) int {
	data, err := json.Marshal(params)
	must.NoError(n.net.t, err)
	must.Less(n.net.t, datagram.MaxBytes-200, len(data))
	for _, addr := range peers {
		if to := n.net.deliver(n, addr, len(data)); to != nil {
			_, err := to.handle(data)
			must.NoError(n.net.t, err)
		}
	}
	return len(data)
}

// deliver returns the node that a message reaches, or nil if the message is lost.
func (w *network) deliver(from *node, addr netip.AddrPort, bytes int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages++
	w.bytes += bytes
	to := w.nodes[addr]
	if to == nil || from.disconnected || to.disconnected {
		return nil
	}
	route := from.name + " " + to.name
	w.sent[route]++
	if w.draw(fmt.Sprint(route, w.sent[route])) < w.loss {
		return nil
	}
	return to
}

// draw returns a pseudo-random number from 0 to 1 that is determined by the seed and the text.
func (w *network) draw(text string) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(w.seed, text))) / math.MaxUint64
}

func (w *network) Put(_ context.Context, key string, value []byte) error {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return context.DeadlineExceeded
	}
	w.writes++
	w.records[key] = value
	nodes := maps.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range nodes {
		w.afterReadDelay(n.name+key, func() { must.NoError(w.t, n.Apply(&follow.Record{Key: key, Value: value})) })
	}
	return nil
}

// afterReadDelay calls apply when a node next reads the topic. The delay is determined by which.
func (w *network) afterReadDelay(which string, apply func()) {
	if w.maxReadDelay == 0 {
		apply()
		return
	}
	time.AfterFunc(time.Duration(w.draw(which)*float64(w.maxReadDelay)), apply)
}

func (w *network) peersOf(own string) map[string]netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	peers := make(map[string]netip.AddrPort)
	for addr, n := range w.nodes {
		if n.name != own {
			peers[n.name] = addr
		}
	}
	return peers
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{t: t, seed: seed, sent: make(map[string]int), nodes: make(map[netip.AddrPort]*node), records: make(map[string][]byte)}
}

// start starts or restarts a node, which reads the topic. It stops at the end of the test.
func (w *network) start(i int) *node {
	n := &node{net: w, name: fmt.Sprint("n", i), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7700)}
	n.Service = New(Config{
		Node: n.name, Conn: n, Topic: w, Now: time.Now, Log: zerolog.Nop(),
		Peers: func() map[string]netip.AddrPort { return w.peersOf(n.name) },
	})
	w.mu.Lock()
	w.nodes[n.addr] = n
	records := maps.Clone(w.records)
	nodes := maps.Clone(w.nodes)
	w.mu.Unlock()
	for key, value := range records {
		must.NoError(w.t, n.Apply(&follow.Record{Key: key, Value: value}))
	}
	for _, other := range nodes {
		other.PeersChanged()
	}
	ctx, stop := context.WithCancel(w.t.Context())
	n.stop = stop
	go func() { _ = n.Run(ctx) }() // it always returns nil
	return n
}

// kill stops a node and removes it from the network.
func (w *network) kill(n *node) {
	n.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.nodes, n.addr)
}

func (w *network) startAll(count int) (nodes []*node) {
	for i := range count {
		nodes = append(nodes, w.start(i))
	}
	return nodes
}

// writeCount returns the number of writes to the topic.
func (w *network) writeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes
}

// holdingNodes returns the number of nodes that hold a request.
func holdingNodes(nodes []*node, f Fingerprint) (count int) {
	for _, n := range nodes {
		if !n.HeldUntil(f).IsZero() {
			count++
		}
	}
	return count
}

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

	mu      sync.Mutex
	nodes   map[netip.AddrPort]*node
	records map[string][]byte
	writes  int
	end     int64 // offset at which the topic ends
	down    bool  // writes to the topic fail
	// lateRemovals makes the topic execute removals after lateBy, and their writers get no answer.
	lateRemovals bool
	// restoreAfterWrite makes the topic come back without any record after the next write, before its answer.
	restoreAfterWrite bool
	messages          int
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
	handlers     map[string]datagram.Handler
	disconnected bool  // disconnected from the other nodes
	unreading    bool  // doesn't read the topic
	read         int64 // offset up to which the topic was read
	stop         context.CancelFunc
}

var (
	_ Conn  = (*node)(nil)
	_ Topic = (*network)(nil)
)

func (n *node) Handle(method string, h datagram.Handler) {
	if n.handlers == nil {
		n.handlers = make(map[string]datagram.Handler)
	}
	n.handlers[method] = h
}

func (n *node) Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error {
	data, err := json.Marshal(params)
	must.NoError(n.net.t, err)
	to := n.net.deliver(n, peer, len(data))
	if to == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	answer, err := to.handlers[method](data)
	must.NoError(n.net.t, err)
	data, err = json.Marshal(answer)
	must.NoError(n.net.t, err)
	must.Less(n.net.t, datagram.MaxBytes-200, len(data))
	if n.net.deliver(to, n.addr, len(data)) == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return json.Unmarshal(data, result)
}

func (n *node) Notify(peers []netip.AddrPort, method string, params any) int {
	data, err := json.Marshal(params)
	must.NoError(n.net.t, err)
	must.Less(n.net.t, datagram.MaxBytes-200, len(data))
	for _, addr := range peers {
		if to := n.net.deliver(n, addr, len(data)); to != nil {
			_, err := to.handlers[method](data)
			must.NoError(n.net.t, err)
		}
	}
	return len(data)
}

// deliver returns the node that a message reaches, or nil if the message is lost.
func (nw *network) deliver(from *node, addr netip.AddrPort, bytes int) *node {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.messages++
	nw.bytes += bytes
	to := nw.nodes[addr]
	if to == nil || from.disconnected || to.disconnected {
		return nil
	}
	route := from.name + " " + to.name
	nw.sent[route]++
	if nw.random(fmt.Sprint(route, nw.sent[route])) < nw.loss {
		return nil
	}
	return to
}

// random returns a pseudo-random number from 0 to 1 that is determined by the seed and the text.
func (nw *network) random(text string) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(nw.seed, text))) / math.MaxUint64
}

// afterReadDelay calls apply when a node next reads the topic. readID identifies the read and
// determines the delay.
func (nw *network) afterReadDelay(readID string, apply func()) {
	if nw.maxReadDelay == 0 {
		apply()
		return
	}
	time.AfterFunc(time.Duration(nw.random(readID)*float64(nw.maxReadDelay)), apply)
}

func (nw *network) peersOf(own string) map[string]netip.AddrPort {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	peers := make(map[string]netip.AddrPort)
	for addr, n := range nw.nodes {
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
func (nw *network) start(i int) *node {
	n := &node{net: nw, name: fmt.Sprint("n", i), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7700)}
	n.Service = New(Config{
		Node: n.name, Conn: n, Topic: nw, TopicEnd: n.topicEnd, Now: time.Now, Log: zerolog.Nop(),
		Peers: func() map[string]netip.AddrPort { return nw.peersOf(n.name) },
	})
	nw.mu.Lock()
	nw.nodes[n.addr] = n
	records := maps.Clone(nw.records)
	nodes := maps.Clone(nw.nodes)
	n.read = nw.end
	nw.mu.Unlock()
	for key, value := range records {
		must.NoError(nw.t, n.Apply(&follow.Record{Key: key, Value: value}))
	}
	for _, other := range nodes {
		other.PeersChanged()
	}
	ctx, stop := context.WithCancel(nw.t.Context())
	n.stop = stop
	go func() { _ = n.Run(ctx) }() // it always returns nil
	return n
}

// kill stops a node and removes it from the network.
func (nw *network) kill(n *node) {
	n.stop()
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.nodes, n.addr)
}

func (nw *network) startAll(count int) (nodes []*node) {
	for i := range count {
		nodes = append(nodes, nw.start(i))
	}
	return nodes
}

// writeCount returns the number of writes to the topic.
func (nw *network) writeCount() int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.writes
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

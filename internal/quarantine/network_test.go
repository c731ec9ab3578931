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

// network carries messages between nodes in one process, and the topic's records.
type network struct {
	t    *testing.T
	seed uint64
	loss float64 // share of messages that are lost

	mu       sync.Mutex
	nodes    map[netip.AddrPort]*node
	records  map[string][]byte
	writes   int
	down     bool // the topic fails
	messages int
	// sent counts the messages between two nodes, so that which are lost does not depend on the order
	// in which goroutines run.
	sent  map[string]int
	bytes int
	// relayed is how long after a write a node of a large system reads it by another, at most; 0
	// means that all read it at once.
	relayed time.Duration
}

// node is a service with its network.
type node struct {
	*Service
	net    *network
	name   string
	addr   netip.AddrPort
	handle datagram.Handler
	cut    bool // from the other nodes
	stop   context.CancelFunc
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

// deliver returns the node that a message reaches, nil if it is lost.
func (w *network) deliver(from *node, addr netip.AddrPort, bytes int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages++
	w.bytes += bytes
	to := w.nodes[addr]
	if to == nil || from.cut || to.cut {
		return nil
	}
	way := from.name + " " + to.name
	w.sent[way]++
	if w.draw(fmt.Sprint(way, w.sent[way])) < w.loss {
		return nil
	}
	return to
}

// draw returns a number from 0 to 1 that the seed and the text give.
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
		w.afterRead(n.name+key, func() { must.NoError(w.t, n.Apply(&follow.Record{Key: key, Value: value})) })
	}
	return nil
}

// afterRead does what a node does when it reads the topic next; which text names.
func (w *network) afterRead(which string, apply func()) {
	if w.relayed == 0 {
		apply()
		return
	}
	time.AfterFunc(time.Duration(w.draw(which)*float64(w.relayed)), apply)
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

// start starts a node, which reads the topic, or one anew that is there. It ends with the test.
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
	go func() { _ = n.Run(ctx) }() // it returns nil
	return n
}

// kill ends a node, whose entry stays until end.
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

// written returns how often the topic was written to.
func (w *network) written() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes
}

// holding returns the number of nodes that hold a request.
func holding(nodes []*node, f Fingerprint) (count int) {
	for _, n := range nodes {
		if !n.HeldUntil(f).IsZero() {
			count++
		}
	}
	return count
}

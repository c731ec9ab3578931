package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/datagram"
)

const (
	service   = "models"
	domains   = 3
	oneWay    = 900 * time.Microsecond
	retention = 24 * time.Second
	lossRate  = 0.03
	// manyStreams is the number of streams that begin at about the same time.
	manyStreams = 1000
)

// network connects simulated nodes.
type network struct {
	loss  float64
	nodes []*node
	// streams is the log of the origins of streams.
	streams *memoryLog

	mu              sync.Mutex
	random          *rand.Rand
	messages, bytes int
}

// lost counts a message and reports whether it is lost.
func (w *network) lost(bytes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages++
	w.bytes += bytes
	return w.random.Float64() < w.loss
}

// setHandlers replaces the handlers of a node.
func (w *network) setHandlers(n *node, handlers map[string]datagram.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.handlers = handlers
}

// handler returns the handler of a method, or nil while the node starts.
func (w *network) handler(n *node, method string) datagram.Handler {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.handlers[method]
}

// sentBytes returns the number of bytes sent so far.
func (w *network) sentBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// node is a simulated node.
type node struct {
	*Service
	network  *network
	handlers map[string]datagram.Handler
	peer     Peer
	silent   atomic.Bool // killed, or cut off from the others
	refused  bool        // by the platform's store
	older    bool        // of a build that doesn't know the messages
	sole     string      // the release that alone can have begun streams
	// listedBefore is true if the others listed the node before it started.
	listedBefore bool
}

// newPeer returns the name, failure domain and address of the i-th node.
func newPeer(i int) Peer {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	return Peer{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains), Addr: addr}
}

func newNetwork(size int) *network {
	n := &network{streams: &memoryLog{}, random: rand.New(rand.NewPCG(uint64(size), 1))}
	for i := range size {
		added := &node{network: n, peer: newPeer(i)}
		n.nodes = append(n.nodes, added)
		added.start()
	}
	n.listAll()
	return n
}

// start starts the node with no records.
func (n *node) start() {
	n.startAlone()
	n.list()
}

// startAlone starts the node with no records and no list of other nodes.
func (n *node) startAlone() {
	n.network.setHandlers(n, make(map[string]datagram.Handler))
	n.Service = New(Config{
		Conn: n, Self: n.peer, WasListed: func() bool { return n.listedBefore }, Now: time.Now, Retention: func() time.Duration { return retention },
		Sole:    func(context.Context, string) (string, error) { return n.sole, nil },
		Streams: n.network.streams.open(),
	})
}

// noSole is the Sole of nodes that know of no release which alone can have begun streams.
func noSole(context.Context, string) (string, error) { return "", nil }

// list has the node list all others.
func (n *node) list() {
	var peers []Peer
	for _, other := range n.network.nodes {
		if other != n {
			peers = append(peers, other.peer)
		}
	}
	n.SetPeers(peers)
}

// peerNames returns the names of the other nodes that the node lists.
func (n *node) peerNames() []string {
	names := make([]string, len(n.peers))
	for i, p := range n.peers {
		names[i] = p.Name
	}
	return names
}

// listAll has all nodes list all others.
func (w *network) listAll() {
	for _, n := range w.nodes {
		n.list()
	}
}

func (n *node) Handle(method string, h datagram.Handler) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.handlers[method] = h
}

// send delivers a message. It reports false if the message is lost.
func (n *node) send(to netip.AddrPort, method string, params any) (response any, ok bool) {
	data, err := json.Marshal(params)
	if err != nil {
		panic(err) // can't fail for the messages
	}
	w := n.network
	lost := w.lost(len(data))
	b := to.Addr().As4()
	other := w.nodes[int(b[2])<<8|int(b[3])]
	handle := w.handler(other, method)
	if n.silent.Load() || other.silent.Load() || other.older || lost || handle == nil || string(data) == "null" { // calls need parameters
		return nil, false
	}
	response, err = handle(data)
	if err != nil {
		panic(err) // the messages are valid
	}
	return response, true
}

func (n *node) Notify(peers []netip.AddrPort, method string, params any) int {
	for _, to := range peers {
		n.send(to, method, params)
	}
	return 0
}

func (n *node) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	response, ok := n.send(to, method, params)
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	if !ok || n.network.lost(len(data)) {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(2 * oneWay):
	}
	return json.Unmarshal(data, result)
}

// begin has the i-th stream begin at a node.
func (w *network) begin(i int) (at *node, k Key, o Origin) {
	at, k = w.nodes[i%len(w.nodes)], KeyOf("yard", fmt.Sprint("r", i))
	o = Origin{Service: service, Release: fmt.Sprint("v", 1+i%2)}
	at.Record(k, o)
	return at, k, o
}

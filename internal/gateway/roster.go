package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
)

const (
	// nodesTopic holds the peers' address of each node under its name.
	nodesTopic = "keyed.cherryward-nodes"
	// nodesWait is how long a read waits for a node to come.
	nodesWait = 10 * time.Second
	// announcePause is the time between two looks whether the own entry is there.
	announcePause = 500 * time.Millisecond
	// readBack is the time after which an entry that was written must be there, with some
	// reads in between: written twice at a common start, it ended all nodes' waiting reads twice.
	readBack = 2 * time.Second
	// gatherTime is how long after its start a node expects others to come up with it, as after
	// a loss of power, and gatherPause the time between two reads of the nodes' addresses
	// meanwhile: each node's coming ends a waiting read of all others. 82 nodes made 1,550 calls
	// in the first 3 s, half of them for want of knowing the nodes that read for others.
	gatherTime  = 4 * time.Second
	gatherPause = 300 * time.Millisecond
)

// standbys is the number of nodes of a large system that follow the claim on orders
// while another node holds it: enough that one is left after the loss of two.
const standbys = 3

// domainReaders is the number of nodes of a failure domain that read the store for the
// others, in a large system. One that is lost is replaced as soon as it isn't heard; for one
// that is cut off from the store, the other stands in meanwhile.
const domainReaders = 2

// putter writes the newest record of a key.
type putter interface {
	Put(ctx context.Context, key string, value []byte) error
}

// roster knows the addresses of all nodes, and makes this one known.
type roster struct {
	node  string
	own   nodeEntry
	topic putter
	set   func(peers []peerload.Peer)
	log   zerolog.Logger
	// rejected notes the entries that can't be used.
	rejected *rejected

	count   atomic.Int64 // nodes, this one included
	standby atomic.Bool

	// heard reports whether a node was heard lately.
	heard func(node string) bool

	mu      sync.Mutex
	entries map[string]nodeEntry // by node
	near    []neighbour          // the nodes of this failure domain, in the order of their hashes
	others  []netip.AddrPort     // what backups returns
	// byDomain is what othersByDomain returns.
	byDomain map[string][]string
	read     bool
}

// neighbour is a node whose address is known.
type neighbour struct {
	name, domain string
	hash         uint64
	addr         netip.AddrPort
}

var _ follow.Sink = (*roster)(nil)

func newRoster(node string, own nodeEntry, topic putter, set func([]peerload.Peer), heard func(string) bool, log zerolog.Logger) *roster {
	r := &roster{node: node, own: own, topic: topic, set: set, heard: heard, log: log, rejected: newRejected(log), entries: make(map[string]nodeEntry)}
	r.summarize()
	return r
}

// Apply implements follow.Sink.
func (r *roster) Apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Snapshot {
		clear(r.entries)
	}
	for i := range b.Records {
		r.apply(&b.Records[i])
	}
	r.read = true
	r.summarize()
	peers := make([]peerload.Peer, 0, len(r.entries))
	for _, e := range r.entries {
		peers = append(peers, peerload.Peer{Addr: e.Addr, Domain: e.Domain})
	}
	r.set(peers)
}

func (r *roster) apply(record *follow.Record) {
	if record.Value == nil {
		delete(r.entries, record.Key)
		return
	}
	e, err := decodeNode(record.Value)
	if err != nil {
		r.rejected.record(record, err)
		// This node writes its own again. What is known of another stays: it may name parts
		// at stores, which must not be freed as if it were gone.
		if record.Key == r.node {
			delete(r.entries, record.Key)
		}
		return
	}
	r.entries[record.Key] = e
}

// summarize counts the nodes, and finds out whether this one stands by: all do in a
// small system, in a larger one the first few in the order of their names' hashes.
func (r *roster) summarize() {
	nodes := len(r.entries)
	if _, listed := r.entries[r.node]; !listed {
		nodes++
	}
	before := 0
	own := xxhash.Sum64String(r.node)
	for name := range r.entries {
		if xxhash.Sum64String(name) < own {
			before++
		}
	}
	r.near = r.neighbours()
	r.others = r.readersElsewhere()
	r.byDomain = r.groupOthers()
	r.count.Store(int64(nodes))
	r.standby.Store(pace.Whole(nodes) || before < standbys)
}

// neighbours returns the nodes of this failure domain, this one included.
func (r *roster) neighbours() []neighbour {
	return r.sorted(func(e nodeEntry) bool { return e.Domain == r.own.Domain })
}

// sorted returns the nodes that match, in the order of their names' hashes.
func (r *roster) sorted(match func(nodeEntry) bool) []neighbour {
	var list []neighbour
	for name, e := range r.entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil || !match(e) {
			continue
		}
		list = append(list, neighbour{name: name, domain: e.Domain, hash: xxhash.Sum64String(name), addr: addr})
	}
	slices.SortFunc(list, func(a, b neighbour) int { return cmp.Compare(a.hash, b.hash) })
	return list
}

// readers returns the nodes that read the store for this one: the first few of its
// failure domain that were heard lately. None means that it reads the store itself, as
// all do in a small system; own is true where it is one of the few of a large one. Nodes
// may differ for a while in whom they take for a reader: then more read the store.
func (r *roster) readers() (addrs []netip.AddrPort, own bool) {
	if pace.Whole(r.Nodes()) {
		return nil, false
	}
	r.mu.Lock()
	near := r.near
	r.mu.Unlock()
	addrs = make([]netip.AddrPort, 0, domainReaders)
	for _, n := range near {
		if n.name == r.node {
			return nil, true
		}
		if !r.heard(n.name) {
			continue
		}
		if addrs = append(addrs, n.addr); len(addrs) == domainReaders {
			return addrs, false
		}
	}
	return nil, false // its own entry is not there yet
}

// backups returns nodes that read the store, whichever failure domain they are in, but for
// this one: those of a small system, and each failure domain's readers of a large one.
func (r *roster) backups() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others
}

// readersElsewhere returns what backups returns. A node that is gone may be among them.
func (r *roster) readersElsewhere() []netip.AddrPort {
	whole := pace.Whole(len(r.entries))
	found := make(map[string]int) // nodes, by failure domain
	var addrs []netip.AddrPort
	for _, n := range r.sorted(func(nodeEntry) bool { return true }) {
		if n.name == r.node || !whole && found[n.domain] == domainReaders {
			continue
		}
		found[n.domain]++
		addrs = append(addrs, n.addr)
	}
	return addrs
}

// Others returns the names of all other nodes that were ever announced.
func (r *roster) Others() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		if name != r.node {
			names = append(names, name)
		}
	}
	return names
}

// othersByDomain returns the same by failure domain. It is not to be changed: it is made once
// for each change of the topic, and asked for with each part that may be freed.
func (r *roster) othersByDomain() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byDomain
}

// groupOthers returns what othersByDomain does.
func (r *roster) groupOthers() map[string][]string {
	names := make(map[string][]string)
	for name, e := range r.entries {
		if name != r.node {
			names[e.Domain] = append(names[e.Domain], name)
		}
	}
	return names
}

// Nodes returns the number of nodes that were ever announced, this one included. Some
// may be gone.
func (r *roster) Nodes() int { return int(r.count.Load()) }

// Standby reports whether this node follows the claim on orders while another holds it.
func (r *roster) Standby() bool { return r.standby.Load() }

// missing reports whether the topic was read and lacks this node.
func (r *roster) missing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read && r.entries[r.node] != r.own
}

// announce writes this node's entry whenever it is missing. Writing it twice does
// no harm.
func (r *roster) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := announcePause
		if r.missing() {
			err := r.put(ctx)
			if err == nil {
				pause = readBack
			}
			r.log.Info().Str("event", "announced").Str("addr", r.own.Addr).Str("domain", r.own.Domain).AnErr("error", err).Send()
		}
		retry.Sleep(ctx, pause)
	}
	return nil
}

func (r *roster) put(ctx context.Context) error {
	value, err := json.Marshal(r.own)
	if err != nil {
		return eris.Wrap(err, "encode the node's entry")
	}
	return r.topic.Put(ctx, r.node, value)
}

package gateway

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/quarantine"
)

const (
	// nodesWait is how long a read waits for a node to come.
	nodesWait = 10 * time.Second
	// readerNodesWait is the same at a node of a large system that reads for others, and oldestNodes
	// the oldest copy of it that these believe: twice that, with a margin. With the shorter bound of
	// the other topics all nodes would find each copy too old, and read the addresses themselves.
	readerNodesWait = 5 * time.Second
	oldestNodes     = 12 * time.Second
	// gatherTime is how long after its start a node expects others to come up with it, as after
	// a loss of power, and gatherPause the time between two reads of the nodes' addresses
	// meanwhile: each node's coming ends a waiting read of all others.
	gatherTime  = 4 * time.Second
	gatherPause = 300 * time.Millisecond
)

// standbys is the number of nodes of a large system that follow the claim on orders
// while another node holds it: enough that one is left after the loss of two.
const standbys = 3

// putter writes the newest record of a key.
type putter interface {
	Put(ctx context.Context, key string, value []byte) error
	// PutIf does so where the topic still ends at an offset, and fails with
	// follow.ErrChanged else. Without a value the key is removed.
	PutIf(ctx context.Context, key string, value []byte, end int64) error
}

// roster knows the addresses of all nodes, and makes this one known.
type roster struct {
	node  string
	clock *clock.Clock // nil is the steady clock
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
	// holds takes the records of held requests, which share the topic with the nodes: these follow it
	// anyway. Nil where nothing takes them.
	holds func(record *follow.Record) error
	// changed is told of each batch of records. Nil for nothing.
	changed func()

	mu      sync.Mutex
	lease   lease
	entries map[string]nodeEntry // by node
	written map[string]time.Time // when a node's newest record was read
	end     int64                // of the topic, as far as it was read
	near    []neighbour          // the nodes of this failure domain, in the order of sorted
	others  []netip.AddrPort     // what backups returns
	// byDomain is what othersByDomain returns.
	byDomain map[string][]string
	members  members // who may send to cold endpoints
	read     bool
}

var _ follow.Sink = (*roster)(nil)

func newRoster(node string, own nodeEntry, topic putter, set func([]peerload.Peer), heard func(string) bool, log zerolog.Logger) *roster {
	r := &roster{
		node: node, own: own, topic: topic, set: set, heard: heard, log: log, rejected: newRejected(log),
		lease:   lease{proven: time.Now(), grace: goneGrace(0)},
		entries: make(map[string]nodeEntry), written: make(map[string]time.Time),
	}
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
	r.noteWritten(&b)
	r.read, r.end = true, b.Next
	r.members.proven = b.ProvenAt
	r.summarize()
	peers := make([]peerload.Peer, 0, len(r.entries))
	for name, e := range r.entries {
		peers = append(peers, peerload.Peer{Node: name, Addr: e.Addr, Domain: e.Domain})
	}
	r.set(peers)
	if r.changed != nil {
		r.changed()
	}
}

func (r *roster) apply(record *follow.Record) {
	if quarantine.IsRecord(record.Key) {
		r.applyHold(record)
		return
	}
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

func (r *roster) applyHold(record *follow.Record) {
	if r.holds == nil {
		return
	}
	if err := r.holds(record); err != nil {
		r.rejected.record(record, err)
	}
}

// noteWritten notes whose records were read, and what they say of this node's own entry.
func (r *roster) noteWritten(b *follow.Batch) {
	now := r.clock.Now()
	touched := b.Snapshot
	for i := range b.Records {
		key := b.Records[i].Key
		r.written[key] = now
		touched = touched || key == r.node
	}
	for name := range r.written {
		if _, listed := r.entries[name]; !listed {
			delete(r.written, name)
		}
	}
	own, listed := r.entries[r.node]
	r.lease.see(sighting{listed: listed, gone: own.Gone, touched: touched, provenAt: b.ProvenAt, at: now})
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
	r.members.take(r.entries)
	r.count.Store(int64(nodes))
	r.standby.Store(pace.Whole(nodes) || before < standbys)
}

// Others returns the names of all other nodes whose entries are there.
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

// Peers returns the addresses of all other nodes whose entries are there, by their names.
func (r *roster) Peers() map[string]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make(map[string]netip.AddrPort, len(r.entries))
	for _, n := range r.sorted(func(nodeEntry) bool { return true }) {
		if n.name != r.node {
			peers[n.name] = n.addr
		}
	}
	return peers
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

// Nodes returns the number of nodes whose entries are there, this one included. Some may be
// gone for less than goneAfter and goneGrace.
func (r *roster) Nodes() int { return int(r.count.Load()) }

// Read reports whether the topic was read.
func (r *roster) Read() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// Counted reports whether the other nodes certainly count this one, so that it may use what
// they leave to it.
func (r *roster) Counted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.holds(r.clock.Now())
}

// Standby reports whether this node follows the claim on orders while another holds it.
func (r *roster) Standby() bool { return r.standby.Load() }

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
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/residency"
)

const (
	// nodesWait is how long a read of the list of nodes waits for a change.
	nodesWait = 10 * time.Second
	// readerNodesWait replaces nodesWait at a node of a large system that reads for others, and
	// maxNodesAge is the maximum age at which the other nodes accept its copy: twice the wait plus
	// a margin. With the shorter maximum of the other topics, every node would find each copy too
	// old and read the entries itself.
	readerNodesWait = 5 * time.Second
	maxNodesAge     = 12 * time.Second
	// startupWindow is how long after its start a node expects others to start with it, as after a
	// power loss. startupReadInterval is the time between two reads of the list of nodes during
	// that time: each new node ends the waiting read of every other.
	startupWindow       = 4 * time.Second
	startupReadInterval = 300 * time.Millisecond
)

// orderStandbys is the number of nodes of a large system that follow the claim on orders while
// another node holds it. One is left after the loss of two.
const orderStandbys = 3

// nodesTopic is the topic of the nodes' entries.
type nodesTopic interface {
	// Read returns the records from an offset on, after waiting for one as long as given.
	Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error)
	// Put writes the newest record of a key.
	Put(ctx context.Context, key string, value []byte) error
	// PutIf is Put on condition that the topic still ends at the given offset; otherwise it fails
	// with follow.ErrChanged. A nil value removes the key.
	PutIf(ctx context.Context, key string, value []byte, end int64) error
}

// roster is the list of nodes: the entries of all nodes in the topic of the nodes. It also writes
// this node's entry.
type roster struct {
	node     string
	clock    *clock.Clock // nil is the monotonic clock
	own      nodeEntry
	topic    nodesTopic
	setPeers func(peers []peerload.Peer)
	// setHelpers, if not nil, receives the nodes that accept requests of others.
	setHelpers func(nodes []handoff.Node)
	regions    residency.Map // the region of each failure domain
	log        zerolog.Logger
	// rejected records the entries that cannot be used.
	rejected *rejected

	count   atomic.Int64 // number of nodes, this one included
	standby atomic.Bool
	// firstStart is true once the topic was read if the first read did not return this node's entry.
	// Otherwise the node, and so the system, was started before.
	firstStart atomic.Bool

	// peerAlive reports whether a message of a node arrived recently.
	peerAlive func(node string) bool
	// applyHoldRecord, if not nil, receives the records of held requests. They share the topic with
	// the nodes' entries, since every node follows it.
	applyHoldRecord func(record *follow.Record) error
	// applyPhaseRecord, if not nil, receives the recorded phases of release orders, for the same reason.
	applyPhaseRecord func(record *follow.Record) error
	// applyReleases, if not nil, receives all batches, for the records of releases in them, and passes the
	// invalid ones to reject.
	applyReleases func(b *follow.Batch, reject func(*follow.Record, error))
	// restored, if not nil, is called before the records of a topic that has come back from an older copy.
	restored func()
	// changed, if not nil, is called after each batch of records.
	changed func()

	mu          sync.Mutex
	lease       lease
	entries     map[string]nodeEntry // by node
	lost        lostEntries
	writtenAt   map[string]time.Time // when the newest record of each node was read
	end         int64                // offset up to which the topic was read
	domainNodes []rosterNode         // nodes of this failure domain, as returned by listDomainNodes
	backupAddrs []netip.AddrPort     // result of backups
	// rootCandidates is the result of listRootCandidates.
	rootCandidates []rosterNode
	// byDomain is the result of othersByDomain.
	byDomain map[string][]string
	members  members // nodes that may send to cold endpoints
	loaded   bool
}

var _ follow.Sink = (*roster)(nil)

func newRoster(node string, own nodeEntry, topic nodesTopic, setPeers func([]peerload.Peer), peerAlive func(string) bool, log zerolog.Logger) *roster {
	r := &roster{
		node: node, own: own, topic: topic, setPeers: setPeers, peerAlive: peerAlive, log: log, rejected: newRejected(log),
		lease:   lease{lastConfirmed: time.Now(), grace: removalGrace(0)},
		entries: make(map[string]nodeEntry), writtenAt: make(map[string]time.Time),
	}
	r.recompute()
	return r
}

// Apply implements follow.Sink.
func (r *roster) Apply(b follow.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Restored {
		r.lost.begin(r.entries, r.clock.Now().Add(r.lease.grace))
		if r.restored != nil {
			r.restored()
		}
	}
	if b.Snapshot {
		clear(r.entries)
	}
	for i := range b.Records {
		r.lost.remove(b.Records[i].Key)
		r.apply(&b.Records[i])
	}
	if r.applyReleases != nil {
		r.applyReleases(&b, r.rejected.record)
	}
	r.lost.addTo(r.entries, r.clock.Now())
	r.recordWrites(&b)
	if !r.loaded {
		_, listed := r.entries[r.node]
		r.firstStart.Store(!listed)
	}
	r.loaded, r.end = true, b.Next
	if b.Snapshot || b.ConfirmedAt.After(r.members.confirmedAt) {
		r.members.confirmedAt = b.ConfirmedAt
	}
	r.recompute()
	peers := make([]peerload.Peer, 0, len(r.entries))
	for name, e := range r.entries {
		peers = append(peers, peerload.Peer{Node: name, Addr: e.Addr, Domain: e.Domain})
	}
	r.setPeers(peers)
	if r.setHelpers != nil && (b.Snapshot || len(b.Records) > 0) {
		r.setHelpers(r.listHelpers())
	}
	if r.changed != nil {
		r.changed()
	}
}

// listHelpers returns the nodes that accept requests of others. The caller must hold mu.
func (r *roster) listHelpers() []handoff.Node {
	var nodes []handoff.Node
	for name, e := range r.entries {
		if e.Helper != "" {
			nodes = append(nodes, handoff.Node{
				Name: name, Addr: e.Helper, Domain: e.Domain, Local: r.regions.SameRegion(e.Domain, r.own.Domain),
				BindsReleases: e.BindsReleases,
			})
		}
	}
	return nodes
}

// recordWrites records which nodes' records were read, and updates the lease from this node's own
// entry.
func (r *roster) recordWrites(b *follow.Batch) {
	now := r.clock.Now()
	updated := b.Snapshot
	for i := range b.Records {
		key := b.Records[i].Key
		r.writtenAt[key] = now
		updated = updated || key == r.node
	}
	for name := range r.writtenAt {
		if _, listed := r.entries[name]; !listed {
			delete(r.writtenAt, name)
		}
	}
	own, listed := r.entries[r.node]
	r.lease.observe(entryObservation{listed: listed, gone: own.Gone, updated: updated, first: !r.loaded, confirmedAt: b.ConfirmedAt, at: now})
}

// recompute updates everything that is derived from the entries: the number of nodes, the lists of
// nodes, and whether this node is a standby for the claim on orders. All nodes of a small system
// are standbys; in a large one, those whose names have the lowest hashes.
func (r *roster) recompute() {
	nodes := len(r.entries)
	if _, listed := r.entries[r.node]; !listed {
		nodes++
	}
	lowerHashes := 0
	own := xxhash.Sum64String(r.node)
	for name := range r.entries {
		if xxhash.Sum64String(name) < own {
			lowerHashes++
		}
	}
	r.domainNodes = r.listDomainNodes()
	r.backupAddrs = r.listBackups()
	r.rootCandidates = r.listRootCandidates()
	r.byDomain = r.groupOthersByDomain()
	r.members.update(r.entries)
	r.count.Store(int64(nodes))
	r.standby.Store(intervals.FullMesh(nodes) || lowerHashes < orderStandbys)
}

// Others returns the names of all other listed nodes.
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

// Peers returns the addresses of all other listed nodes by name.
func (r *roster) Peers() map[string]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make(map[string]netip.AddrPort, len(r.entries))
	for _, n := range r.sortedNodes(func(nodeEntry) bool { return true }) {
		if n.name != r.node {
			peers[n.name] = n.addr
		}
	}
	return peers
}

// addrOf returns the address of a listed node for messages.
func (r *roster) addrOf(name string) (netip.AddrPort, bool) {
	r.mu.Lock()
	e, listed := r.entries[name]
	r.mu.Unlock()
	addr, err := netip.ParseAddrPort(e.Addr)
	return addr, listed && err == nil
}

// othersByDomain returns the names of all other listed nodes by failure domain. Callers must not
// modify the result: it is computed once per change of the topic, since the result is needed for
// each part that may be freed.
func (r *roster) othersByDomain() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byDomain
}

// groupOthersByDomain computes the result of othersByDomain.
func (r *roster) groupOthersByDomain() map[string][]string {
	names := make(map[string][]string)
	for name, e := range r.entries {
		if name != r.node {
			names[e.Domain] = append(names[e.Domain], name)
		}
	}
	return names
}

// End returns the offset up to which the topic has been read.
func (r *roster) End() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// Standby reports whether this node follows the claim on orders while another node holds it.
func (r *roster) Standby() bool { return r.standby.Load() }

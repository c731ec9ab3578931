package peerload

import (
	"sync"
	"time"
)

const (
	// DigestLifetime is how long a digest is used. It tolerates the loss of a few messages.
	DigestLifetime = 800 * time.Millisecond
	// peerLifetime is how long a node counts as live after its last digest.
	peerLifetime = 10 * time.Second
	// minReporters is the number of peers that must report an endpoint's failures or a holder's
	// lateness before it counts: a single peer may have a network problem of its own.
	minReporters = 2
)

// Table holds the latest digest of each peer. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	peers map[string]peerState
	// domains holds the latest digest of each failure domain, by its name. This node's own domain is
	// included if one of its representatives sends digests.
	domains map[string]domainState
	// domainLoads holds the latest load of each other failure domain, by its name.
	domainLoads map[string]domainLoad
	// domainLoadOrder holds the latest load message of each collector of another failure domain.
	domainLoadOrder latestMessages
	maxPeers        int // the largest number of peers seen at once
	// own identifies this node's start. ownDigests are its latest digests.
	own         uint32
	isCollector bool // this node is a collector
	ownDigests  []*ownDigest
	notices     noticeTable
	changes     int64 // number of digests and domain loads recorded
	direct      cachedView
}

type peerState struct {
	digest     Digest
	at         time.Time
	watermarks map[string]versionWatermark // by model
	aggregate  *receivedAggregate          // nil if the peer is no collector
}

// versionWatermark is the oldest version that a node still references, and the time at which it was
// first reported.
type versionWatermark struct {
	oldest int64
	since  time.Time
}

// updateWatermarks applies the references in a node's latest digest to its watermarks, which only
// rise.
func updateWatermarks(watermarks map[string]versionWatermark, references []OldestReferenced, now time.Time) map[string]versionWatermark {
	for _, n := range references {
		if watermarks == nil {
			watermarks = make(map[string]versionWatermark)
		}
		if n.Oldest > watermarks[n.Model].oldest {
			watermarks[n.Model] = versionWatermark{oldest: n.Oldest, since: now}
		}
	}
	return watermarks
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{peers: make(map[string]peerState), domains: make(map[string]domainState), domainLoads: make(map[string]domainLoad), domainLoadOrder: make(latestMessages)}
}

// Record records a digest. It returns false, and drops the digest, if it is older than the latest one of
// the node.
func (t *Table) Record(d Digest, now time.Time) (recorded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, listed := t.peers[d.Node]
	if d.Incarnation < known.digest.Incarnation || d.Incarnation == known.digest.Incarnation && d.Seq <= known.digest.Seq {
		return false
	}
	t.notices.removeBefore(d.Node, d.Incarnation)
	t.changes++
	aggregate := t.receiveAggregate(&d, now)
	d.Aggregate = nil // held in peerState.aggregate
	t.peers[d.Node] = peerState{digest: d, at: now, watermarks: updateWatermarks(known.watermarks, d.References, now), aggregate: aggregate}
	// Only a digest of a new node can increase the count. Messages are too frequent to count the
	// nodes at each one.
	if !listed {
		t.maxPeers = max(t.maxPeers, t.removeExpiredPeers(now))
	}
	return true
}

// Late returns how much later than expected fetches complete, in ms, by the holder's address, for
// holders that several peers report.
func (t *Table) Late(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.bestAggregate(now)
	if best == nil {
		return t.directLate(now)
	}
	late := make(map[string]float64, len(best.late))
	for _, l := range best.late {
		late[l.Addr] = float64(l.MS)
	}
	return late
}

// directLate computes Late from the peers' own digests.
func (t *Table) directLate(now time.Time) map[string]float64 {
	sums := make(map[string]float64)
	reporters := make(map[string]int)
	for _, p := range t.peers {
		if now.Sub(p.at) > DigestLifetime {
			continue
		}
		for _, l := range p.digest.Late {
			sums[l.Addr] += float64(l.MS)
			reporters[l.Addr]++
		}
	}
	for addr, n := range reporters {
		if n < minReporters {
			delete(sums, addr)
			continue
		}
		sums[addr] /= float64(n)
	}
	return sums
}

// Closed returns the engines that peers currently keep closed to load weights. The value is true
// for engines that accept no requests, false for those that accept short ones.
func (t *Table) Closed(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := make(closedEngines)
	for _, p := range t.peers {
		closed.add(p.digest.Emptied, p.digest.Loading, p.digest.ForMs, now.Sub(p.at))
		if p.aggregate == nil {
			continue
		}
		for i := range p.aggregate.orders {
			o := &p.aggregate.orders[i]
			closed.add(o.Emptied, o.Loading, o.ForMs, now.Sub(p.at))
		}
	}
	return closed
}

// closedEngines is the result of Closed.
type closedEngines map[string]bool

// add adds the engines of a digest of the given age, unless it is older than forMs.
func (c closedEngines) add(emptied, loading []string, forMs int64, age time.Duration) {
	if age >= time.Duration(forMs)*time.Millisecond {
		return
	}
	for _, id := range emptied {
		loads := c[id] // keeps true if another peer reports the engine as loading
		c[id] = loads
	}
	for _, id := range loading {
		c[id] = true
	}
}

// UnreferencedSince returns the time since which all of the nodes have referenced only versions of
// a model newer than the given one at stores, and false if one of them has not reported that.
func (t *Table) UnreferencedSince(model string, version int64, nodes []string) (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		p := t.peers[node].watermarks[model]
		if p.oldest <= version {
			return time.Time{}, false
		}
		if p.since.After(since) {
			since = p.since
		}
	}
	return since, true
}

// ClaimHeld reports whether this node or a collector received a digest from a holder of the claim to
// give orders within the given time.
func (t *Table) ClaimHeld(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.digest.Leads && now.Sub(p.at) < within || p.aggregate.claimHeld(now, within) {
			return true
		}
	}
	return false
}

// claimHeld reports whether the collector received a digest from a holder of the claim to give
// orders within the given time.
func (a *receivedAggregate) claimHeld(now time.Time, within time.Duration) bool {
	if a == nil {
		return false
	}
	for i := range a.orders {
		o := &a.orders[i]
		if o.Leads && now.Sub(a.at)+time.Duration(o.AgeMs)*time.Millisecond < within {
			return true
		}
	}
	return false
}

// ReceivedFrom reports whether a digest of the node arrived within the given time.
func (t *Table) ReceivedFrom(node string, now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.peers[node]
	return known && now.Sub(p.at) < within
}

// ReceivedFromDomain reports whether a digest of the failure domain arrived within the given time.
func (t *Table) ReceivedFromDomain(domain string, now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, known := t.domains[domain]
	return known && now.Sub(d.at) < within
}

// ReceivedFromOtherDomains reports whether a digest of any failure domain arrived within the given
// time. Digests of this node's own domain count too.
func (t *Table) ReceivedFromOtherDomains(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.domains {
		if now.Sub(d.at) < within {
			return true
		}
	}
	return false
}

// LiveNodes returns the number of live nodes, including this one.
func (t *Table) LiveNodes(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removeExpiredPeers(now) + 1
}

// ReceivedFromAny reports whether a digest of any node arrived within the given time.
func (t *Table) ReceivedFromAny(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if now.Sub(p.at) < within {
			return true
		}
	}
	return false
}

// Nodes returns the number of nodes, including this one, among which shared budgets are divided.
// It is the largest number ever seen, so that a node that is cut off doesn't take the others'
// shares.
func (t *Table) Nodes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxPeers + 1
}

// removeExpiredPeers discards the peers that are no longer live, and returns the number of the
// others.
func (t *Table) removeExpiredPeers(now time.Time) int {
	for name, p := range t.peers {
		if now.Sub(p.at) > peerLifetime {
			delete(t.peers, name)
		}
	}
	return len(t.peers)
}

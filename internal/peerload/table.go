package peerload

import (
	"sync"
	"time"
)

const (
	// Fresh is how long a message is used: a few lost ones are bridged.
	Fresh = 800 * time.Millisecond
	// heardFor is how long a node counts as one of those that share a budget after
	// its last message.
	heardFor = 10 * time.Second
	// failureWitnesses is the number of peers that must tell of an endpoint's failures
	// before they count: one alone may have lost its own way there.
	failureWitnesses = 2
)

// Table holds the newest digest of each peer. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	peers map[string]heard
	// domains holds the newest digest of each other failure domain, by its name.
	domains map[string]heardDomain
	// outers holds the newest load of each other failure domain, by its name.
	outers map[string]heardOuter
	most   int // the largest number of nodes seen at once
	// own stands for this node's start, and ownDigests are its newest digests.
	own        uint32
	collects   bool // this node is a collector
	ownDigests []*ownDigest
}

type heard struct {
	digest    Digest
	at        time.Time
	names     map[string]promise // by model
	collected *heardCollected    // nil where the peer is no collector
}

// promise is the oldest version that a node names, since when at the latest.
type promise struct {
	oldest int64
	since  time.Time
}

// promises returns what a node promised before, with what its newest digest adds.
func promises(before map[string]promise, named []Named, now time.Time) map[string]promise {
	for _, n := range named {
		if before == nil {
			before = make(map[string]promise)
		}
		if n.Oldest > before[n.Model].oldest {
			before[n.Model] = promise{oldest: n.Oldest, since: now}
		}
	}
	return before
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{peers: make(map[string]heard), domains: make(map[string]heardDomain), outers: make(map[string]heardOuter)}
}

// Take notes a digest. One that is older than what is known of the node is dropped.
func (t *Table) Take(d Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, listed := t.peers[d.Node]
	if d.Incarnation < known.digest.Incarnation || d.Incarnation == known.digest.Incarnation && d.Seq <= known.digest.Seq {
		return
	}
	collected := t.takeCollected(&d, now)
	d.Collected = nil // what it says is kept there
	t.peers[d.Node] = heard{digest: d, at: now, names: promises(known.names, d.Names, now), collected: collected}
	// Only a new node can make them more. Messages come too often to count the nodes at each.
	if !listed {
		t.most = max(t.most, t.count(now))
	}
}

// Late returns how much later than expected fetches from holders come, in ms, by their
// addresses, where several peers tell so.
func (t *Table) Late(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.collected(now)
	if c == nil {
		return t.directLate(now)
	}
	late := make(map[string]float64, len(c.late))
	for _, l := range c.late {
		late[l.Addr] = float64(l.MS)
	}
	return late
}

// directLate returns what Late does, by what the peers tell themselves.
func (t *Table) directLate(now time.Time) map[string]float64 {
	sums := make(map[string]float64)
	witnesses := make(map[string]int)
	for _, p := range t.peers {
		if now.Sub(p.at) > Fresh {
			continue
		}
		for _, l := range p.digest.Late {
			sums[l.Addr] += float64(l.MS)
			witnesses[l.Addr]++
		}
	}
	for addr, n := range witnesses {
		if n < failureWitnesses {
			delete(sums, addr)
			continue
		}
		sums[addr] /= float64(n)
	}
	return sums
}

// Closed returns the engines that peers have loaded now, and whether each refuses
// all requests.
func (t *Table) Closed(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := make(closings)
	for _, p := range t.peers {
		closed.take(p.digest.Emptied, p.digest.Loading, p.digest.ForMs, now.Sub(p.at))
		if p.collected == nil {
			continue
		}
		for i := range p.collected.orders {
			o := &p.collected.orders[i]
			closed.take(o.Emptied, o.Loading, o.ForMs, now.Sub(p.at))
		}
	}
	return closed
}

// closings are the engines that are closed, and whether each refuses all requests.
type closings map[string]bool

// take adds engines that a peer closed for some ms, so long ago.
func (c closings) take(emptied, loading []string, forMs int64, ago time.Duration) {
	if ago >= time.Duration(forMs)*time.Millisecond {
		return
	}
	for _, id := range emptied {
		loads := c[id] // false, unless another peer has it load
		c[id] = loads
	}
	for _, id := range loading {
		c[id] = true
	}
}

// Unnamed returns since when all of the nodes have named only newer versions of a model at
// stores, and false where one of them has not said so.
func (t *Table) Unnamed(model string, version int64, nodes []string) (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		p := t.peers[node].names[model]
		if p.oldest <= version {
			return time.Time{}, false
		}
		if p.since.After(since) {
			since = p.since
		}
	}
	return since, true
}

// Led reports whether a peer that holds the claim on orders was heard within a time, by this
// node or by a collector.
func (t *Table) Led(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.digest.Leads && now.Sub(p.at) < within || p.collected.led(now, within) {
			return true
		}
	}
	return false
}

// led reports whether the collector heard the holder of the claim on orders within a time.
func (c *heardCollected) led(now time.Time, within time.Duration) bool {
	if c == nil {
		return false
	}
	for i := range c.orders {
		o := &c.orders[i]
		if o.Leads && now.Sub(c.at)+time.Duration(o.AgeMs)*time.Millisecond < within {
			return true
		}
	}
	return false
}

// Heard reports whether a node was heard within a time.
func (t *Table) Heard(node string, now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.peers[node]
	return known && now.Sub(p.at) < within
}

// HeardOf reports whether a speaker of another failure domain was heard within a time.
func (t *Table) HeardOf(domain string, now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, known := t.domains[domain]
	return known && now.Sub(d.at) < within
}

// HearsAfar reports whether a speaker of any other failure domain was heard within a time.
func (t *Table) HearsAfar(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.domains {
		if now.Sub(d.at) < within {
			return true
		}
	}
	return false
}

// Lately returns the number of nodes, this one included, that were heard lately.
func (t *Table) Lately(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(now) + 1
}

// Hears reports whether any node was heard within a time.
func (t *Table) Hears(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if now.Sub(p.at) < within {
			return true
		}
	}
	return false
}

// Nodes returns the number of nodes, this one included, that are known to share
// what is given out among nodes. It is the largest number ever seen: a node that is
// cut off must not take the others' shares.
func (t *Table) Nodes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.most + 1
}

// count returns the number of peers heard of lately, and forgets others.
func (t *Table) count(now time.Time) int {
	for name, p := range t.peers {
		if now.Sub(p.at) > heardFor {
			delete(t.peers, name)
		}
	}
	return len(t.peers)
}

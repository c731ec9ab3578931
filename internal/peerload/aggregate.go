package peerload

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coverageRatio is the fraction of the best collector's node count from which another
	// collector counts as equally good. The newer of two such aggregates is used.
	coverageRatio = 0.9
	// maxEndpointsPerVersion is the maximum number of endpoints listed for one version in an
	// aggregate, of about 45 bytes each.
	maxEndpointsPerVersion = 120
	// includedEntryBytes is the length of one entry in Aggregate.Included.
	includedEntryBytes = 8
)

// Aggregate is what a collector sends to the nodes of its failure domain: the combined reports of
// all of them. Collectors are the few nodes of a failure domain that receive the load of all
// others there. An aggregate is sent with the collector's own digest.
//
// Without collectors, with each node sending to each other one, the number of received messages
// grows with the square of the number of nodes.
type Aggregate struct {
	// Nodes is the number of nodes whose digests are included.
	Nodes int `json:"nodes"`
	// Loads are the sums by endpoint: a key of 4 bytes, little-endian, followed by unsigned
	// varints: running requests, pending prompt tokens, held tokens, the total of the failure rates
	// in percent, and the number of nodes that report failures.
	Loads []byte `json:"loads,omitempty"`
	// DomainLoads are the sums of the loads that other failure domains report, as encoded by
	// encodeCoarse.
	DomainLoads []byte `json:"outer,omitempty"`
	// Domains are the other failure domains included in DomainLoads.
	Domains []string `json:"domains,omitempty"`
	// Included identifies the included digest of each node: a key of 4 bytes for the node's start
	// and the low 4 bytes of the digest's sequence number, little-endian.
	Included []byte `json:"told,omitempty"`
	// Late are the holders whose fetches are late at several nodes.
	Late []Late `json:"late,omitempty"`
	// Orders are the order states of the nodes that give orders.
	Orders []RelayedOrders `json:"orders,omitempty"`
	// UnlistedWeights are weight versions that engines reported to nodes before the registry listed
	// them.
	UnlistedWeights []UnlistedWeights `json:"seen,omitempty"`
	// Limits are the rate limits that endpoints of all failure domains recently reported to nodes.
	Limits []Limit `json:"limits,omitempty"`
	// Slow are the engines that nodes observe to be slow, with the largest factor of each.
	Slow []Slow `json:"slow,omitempty"`
	// Brittle are the services of whose endpoints nodes of all failure domains know that they are brittle.
	Brittle []Brittle `json:"brittle,omitempty"`
}

// RelayedOrders is the order state of one node, as relayed by a collector.
type RelayedOrders struct {
	Emptied []string `json:"emptied,omitempty"`
	Loading []string `json:"loading,omitempty"`
	ForMs   int64    `json:"for_ms,omitempty"` // remaining validity of Emptied and Loading
	Leads   bool     `json:"leads,omitempty"`
	AgeMs   int64    `json:"age_ms,omitempty"` // time since the collector received the node's digest
}

// receivedAggregate is the aggregate of one collector, as received.
type receivedAggregate struct {
	nodes   int
	late    []Late
	slow    []Slow
	orders  []RelayedOrders
	domains []string // other failure domains included
	at      time.Time
	// included is Aggregate.Included. The collector's own digest is not in it: key identifies the
	// collector's start, and seq its digest.
	included []byte
	key, seq uint32

	// encoded is the aggregate as received; nil once decoded. loads and starts are the collector's
	// own loads, which the aggregate doesn't include, and own is this node's included digest, or
	// nil.
	encoded *Aggregate
	loads   []Load
	starts  []StartTag
	own     *ownDigest
	// sums is the decoded result without this node's own loads. It is computed on first use: most
	// aggregates are never used, and decoding each of them would allocate much memory.
	sums Sums
}

// loadSums returns the sums of the loads of the other nodes.
func (a *receivedAggregate) loadSums() Sums {
	if a.sums != nil {
		return a.sums
	}
	sums := make(Sums, (len(a.encoded.Loads)+len(a.encoded.DomainLoads))/minSumBytes)
	err := sums.addEncoded(a.encoded.Loads)
	if a.own != nil {
		sums.subtract(a.own.loads, a.own.starts)
	}
	sums.add(a.loads, a.starts)
	if err = errors.Join(err, sums.addCoarse(a.encoded.DomainLoads)); err != nil {
		return Sums{} // unreachable: check rejects such digests
	}
	a.sums, a.encoded, a.own = sums, nil, nil
	return sums
}

// nodeKey returns a key that identifies one start of a node.
func nodeKey(node string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(node)) ^ uint32(incarnation) ^ uint32(incarnation>>32)
}

// Collect returns the aggregate of the current digests of all peers.
func (t *Table) Collect(now time.Time) *Aggregate {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Aggregate{}
	sums := make(Sums)
	for _, p := range t.peers {
		d, age := &p.digest, ageAt(now, p.at)
		a.addOrders(d, age)
		if age > DigestLifetime {
			continue
		}
		a.Nodes++
		sums.add(d.Loads, d.Starts)
		a.Included = binary.LittleEndian.AppendUint32(a.Included, nodeKey(d.Node, d.Incarnation))
		a.Included = binary.LittleEndian.AppendUint32(a.Included, uint32(d.Seq))
		a.addUnlistedWeights(d.UnlistedWeights, age)
	}
	a.Loads = sums.encode()
	domainLoads, domains := t.domainLoadSums(now)
	a.DomainLoads, a.Domains = domainLoads.encodeCoarse(), domains
	a.Limits, a.Brittle = t.collectLimits(now), t.collectBrittle(now)
	a.Slow = slowest(t.peerSlow(now))
	for addr, ms := range t.directLate(now) {
		a.Late = append(a.Late, Late{Addr: addr, MS: int(ms)})
	}
	return a
}

// addOrders adds the order state of a digest that was received the given time ago. Digests older
// than DigestLifetime count too, because other nodes treat the claim to give orders as held for
// longer than that.
func (a *Aggregate) addOrders(d *Digest, age time.Duration) {
	o := RelayedOrders{Leads: d.Leads, AgeMs: age.Milliseconds()}
	if left := d.ForMs - o.AgeMs; left > 0 {
		o.Emptied, o.Loading, o.ForMs = d.Emptied, d.Loading, left
	}
	if o.Leads || o.ForMs > 0 {
		a.Orders = append(a.Orders, o)
	}
}

// addUnlistedWeights adds the versions of a digest that was received the given time ago, once for
// each endpoint and version.
func (a *Aggregate) addUnlistedWeights(reported []UnlistedWeights, age time.Duration) {
	for i := range reported {
		s := &reported[i]
		at := slices.IndexFunc(a.UnlistedWeights, func(o UnlistedWeights) bool { return o.Model == s.Model && o.Version == s.Version })
		if at < 0 {
			at = len(a.UnlistedWeights)
			a.UnlistedWeights = append(a.UnlistedWeights, UnlistedWeights{Model: s.Model, Version: s.Version})
		}
		a.UnlistedWeights[at].merge(s, age)
	}
}

// merge adds the entries of another report, received the given time ago, for endpoints that s
// lacks. For an endpoint in both, it keeps the entry of the later start, or the newer entry of the
// same start.
func (s *UnlistedWeights) merge(o *UnlistedWeights, age time.Duration) {
	for i, id := range o.Endpoints {
		if i >= len(o.StartedMs) || i >= len(o.AgesMs) {
			return // sent by a build that does not date its entries
		}
		ageMs := o.AgesMs[i] + age.Milliseconds()
		at := slices.Index(s.Endpoints, id)
		switch {
		case at < 0 && len(s.Endpoints) < maxEndpointsPerVersion:
			s.Endpoints, s.StartedMs, s.AgesMs = append(s.Endpoints, id), append(s.StartedMs, o.StartedMs[i]), append(s.AgesMs, ageMs)
		case at >= 0 && (o.StartedMs[i] > s.StartedMs[at] || o.StartedMs[i] == s.StartedMs[at] && ageMs < s.AgesMs[at]):
			s.StartedMs[at], s.AgesMs[at] = o.StartedMs[i], ageMs
		}
	}
}

// includedSeq returns the sequence number of the node's included digest, and false if none is
// included.
func (a *receivedAggregate) includedSeq(node uint32) (seq uint32, ok bool) {
	if node == a.key {
		return a.seq, true
	}
	for rest := a.included; len(rest) >= includedEntryBytes; rest = rest[includedEntryBytes:] {
		if binary.LittleEndian.Uint32(rest) == node {
			return binary.LittleEndian.Uint32(rest[4:]), true
		}
	}
	return 0, false
}

// receiveAggregate returns the aggregate in a digest, or nil if the sender is no collector.
func (t *Table) receiveAggregate(d *Digest, now time.Time) *receivedAggregate {
	a := d.Aggregate
	if a == nil {
		return nil
	}
	received := &receivedAggregate{nodes: a.Nodes, late: a.Late, slow: a.Slow, orders: a.Orders, domains: a.Domains, at: now, encoded: a, loads: d.Loads, starts: d.Starts}
	received.included, received.key, received.seq = a.Included, nodeKey(d.Node, d.Incarnation), uint32(d.Seq)
	if seq, ok := received.includedSeq(t.own); ok {
		received.own = t.ownDigest(seq)
	}
	return received
}

// AggregateAge returns the age of the aggregate on which Loads is based, and false if Loads is
// based on the peers' own digests.
func (t *Table) AggregateAge(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.bestAggregate(now)
	if a == nil {
		return 0, false
	}
	return now.Sub(a.at), true
}

// bestAggregate returns the aggregate to use, or nil if this node receives digests from clearly
// more peers directly. A collector prefers its own data even if an aggregate covers slightly more
// nodes. Of several aggregates that cover nearly as many nodes as the largest, the newest one is
// used.
func (t *Table) bestAggregate(now time.Time) *receivedAggregate {
	direct, maxNodes := 0, 0
	for _, p := range t.peers {
		if now.Sub(p.at) > DigestLifetime {
			continue
		}
		direct++
		if p.aggregate != nil {
			maxNodes = max(maxNodes, p.aggregate.nodes)
		}
	}
	if maxNodes == 0 || float64(maxNodes) < coverageRatio*float64(direct) {
		return nil
	}
	if t.isCollector && coverageRatio*float64(maxNodes) <= float64(direct) {
		return nil
	}
	var best *receivedAggregate
	for _, p := range t.peers {
		a := p.aggregate
		if a == nil || now.Sub(p.at) > DigestLifetime || float64(a.nodes) < coverageRatio*float64(maxNodes) {
			continue
		}
		if best == nil || a.at.After(best.at) {
			best = a
		}
	}
	return best
}

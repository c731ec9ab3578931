package peerload

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keptDigests is the number of this node's digests whose loads are remembered. A collector
	// tells of one that it heard within Fresh, and is itself believed for as long: at the
	// shortest time between two digests these are 107, but a message a few tens of ms old is
	// the usual case, and beyond the oldest kept one that one is taken.
	keptDigests = 32
	// clearMajority is the part of the nodes that the best collector hears from which another
	// one is as good, so that the newer of two is used.
	clearMajority = 0.9
	// mostSeen bounds the statements on weights in one message, of some 45 bytes each.
	mostSeen = 120
	// toldBytes is the length of one node in Collected.Told.
	toldBytes = 8
)

// Collected is what a collector, one of the few nodes that all of a failure domain tell of
// their load, tells these of all others together. Its own digest comes with it.
//
// Where each node tells each other one, the messages that are heard rise with the square of the nodes.
type Collected struct {
	// Nodes is the number of nodes whose digests are in it.
	Nodes int `json:"nodes"`
	// Loads are the sums by endpoint: a key of 4 bytes, little-endian, and as unsigned varints
	// running requests, tokens to read, tokens held, failures in percent added up, and nodes
	// that tell of failures.
	Loads []byte `json:"loads,omitempty"`
	// Outer are the sums of what the nodes of other failure domains have under way, as
	// encodeCoarse writes them.
	Outer []byte `json:"outer,omitempty"`
	// Domains are the other failure domains that Outer tells of.
	Domains []string `json:"domains,omitempty"`
	// Told names the digest of each node that is in it: a key of 4 bytes for the node's start
	// and the low 4 bytes of the digest's number, little-endian.
	Told []byte `json:"told,omitempty"`
	// Late are the holders from which fetches come late to several nodes.
	Late []Late `json:"late,omitempty"`
	// Orders are what nodes that give orders told.
	Orders []ToldOrders `json:"orders,omitempty"`
	// Seen are the weights that nodes saw.
	Seen []Seen `json:"seen,omitempty"`
	// Limits are what endpoints told nodes of limits lately, of all failure domains.
	Limits []Limit `json:"limits,omitempty"`
}

// ToldOrders is what one node that gives orders told, some time ago.
type ToldOrders struct {
	Emptied []string `json:"emptied,omitempty"`
	Loading []string `json:"loading,omitempty"`
	ForMs   int64    `json:"for_ms,omitempty"` // how much longer these count
	Leads   bool     `json:"leads,omitempty"`
	AgeMs   int64    `json:"age_ms,omitempty"` // since the node was heard
}

// heardCollected is what a collector told.
type heardCollected struct {
	nodes   int
	late    []Late
	orders  []ToldOrders
	domains []string // other failure domains that it tells of
	at      time.Time

	// told is the rest, with the collector's own loads, and own this node's digest that is in
	// it, or nil.
	told   *Collected
	loads  []Load
	starts []Start
	own    *ownDigest
	// sums are what it comes to without this node's own loads; nil until they are asked for,
	// which most messages are never: made from each, they are most of what a node allocates.
	sums Sums
}

// load returns the sums of what the other nodes have under way.
func (c *heardCollected) load() Sums {
	if c.sums != nil {
		return c.sums
	}
	sums := make(Sums, (len(c.told.Loads)+len(c.told.Outer))/loadLeast)
	err := sums.addEncoded(c.told.Loads)
	if c.own != nil {
		sums.drop(c.own.loads, c.own.starts)
	}
	sums.take(c.loads, c.starts)
	if err = errors.Join(err, sums.addCoarse(c.told.Outer)); err != nil {
		return Sums{} // never: check refuses such digests
	}
	c.sums, c.told, c.own = sums, nil, nil
	return sums
}

// ownDigest is one of this node's digests.
type ownDigest struct {
	seq    uint32
	loads  []Load
	starts []Start
}

// nodeKey stands for a node's start.
func nodeKey(node string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(node)) ^ uint32(incarnation) ^ uint32(incarnation>>32)
}

// NoteOwn remembers a digest of this node, so that its loads can be told from the others' in
// what collectors tell.
func (t *Table) NoteOwn(d *Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = nodeKey(d.Node, d.Incarnation)
	t.collects = d.Collected != nil
	if len(t.ownDigests) == keptDigests {
		t.ownDigests = slices.Delete(t.ownDigests, 0, 1)
	}
	t.ownDigests = append(t.ownDigests, &ownDigest{seq: uint32(d.Seq), loads: d.Loads, starts: d.Starts})
}

// Collect returns what the fresh digests of all peers say together.
func (t *Table) Collect(now time.Time) *Collected {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &Collected{}
	sums := make(Sums)
	for _, p := range t.peers {
		d := &p.digest
		c.takeOrders(d, now.Sub(p.at))
		if now.Sub(p.at) > Fresh {
			continue
		}
		c.Nodes++
		sums.take(d.Loads, d.Starts)
		c.Told = binary.LittleEndian.AppendUint32(c.Told, nodeKey(d.Node, d.Incarnation))
		c.Told = binary.LittleEndian.AppendUint32(c.Told, uint32(d.Seq))
		c.takeSeen(d.Seen, now.Sub(p.at))
	}
	c.Loads = sums.encode()
	outer, domains := t.outer(now)
	c.Outer, c.Domains = outer.encodeCoarse(), domains
	c.Limits = t.collectLimits(now)
	for addr, ms := range t.directLate(now) {
		c.Late = append(c.Late, Late{Addr: addr, MS: int(ms)})
	}
	return c
}

// takeOrders adds what a node told of orders so long ago: others wait for a holder of the claim
// that is silent longer than loads are believed.
func (c *Collected) takeOrders(d *Digest, age time.Duration) {
	o := ToldOrders{Leads: d.Leads, AgeMs: age.Milliseconds()}
	if left := d.ForMs - o.AgeMs; left > 0 {
		o.Emptied, o.Loading, o.ForMs = d.Emptied, d.Loading, left
	}
	if o.Leads || o.ForMs > 0 {
		c.Orders = append(c.Orders, o)
	}
}

// takeSeen adds what a node told of weights so long ago, once for each endpoint and version.
func (c *Collected) takeSeen(seen []Seen, age time.Duration) {
	for i := range seen {
		s := &seen[i]
		at := slices.IndexFunc(c.Seen, func(o Seen) bool { return o.Model == s.Model && o.Version == s.Version })
		if at < 0 {
			at = len(c.Seen)
			c.Seen = append(c.Seen, Seen{Model: s.Model, Version: s.Version})
		}
		c.Seen[at].merge(s, age)
	}
}

// merge adds the statements of another list, told so long ago, on endpoints that s doesn't have,
// and of two on one endpoint's start keeps the newer.
func (s *Seen) merge(o *Seen, age time.Duration) {
	for i, id := range o.Endpoints {
		if i >= len(o.Born) || i >= len(o.AgesMs) {
			return // of another build, which doesn't date them
		}
		ageMs := o.AgesMs[i] + age.Milliseconds()
		at := slices.Index(s.Endpoints, id)
		switch {
		case at < 0 && len(s.Endpoints) < mostSeen:
			s.Endpoints, s.Born, s.AgesMs = append(s.Endpoints, id), append(s.Born, o.Born[i]), append(s.AgesMs, ageMs)
		case at >= 0 && (o.Born[i] > s.Born[at] || o.Born[i] == s.Born[at] && ageMs < s.AgesMs[at]):
			s.Born[at], s.AgesMs[at] = o.Born[i], ageMs
		}
	}
}

// includes returns the number of a node's digest that is in it, and false where none is.
func (c *Collected) includes(node uint32) (seq uint32, ok bool) {
	for told := c.Told; len(told) >= toldBytes; told = told[toldBytes:] {
		if binary.LittleEndian.Uint32(told) == node {
			return binary.LittleEndian.Uint32(told[4:]), true
		}
	}
	return 0, false
}

// takeCollected returns what a collector's digest tells of the others; nil where it tells only of
// its own node.
func (t *Table) takeCollected(d *Digest, now time.Time) *heardCollected {
	c := d.Collected
	if c == nil {
		return nil
	}
	heard := &heardCollected{nodes: c.Nodes, late: c.Late, orders: c.Orders, domains: c.Domains, at: now, told: c, loads: d.Loads, starts: d.Starts}
	if seq, ok := c.includes(t.own); ok {
		heard.own = t.ownDigest(seq)
	}
	return heard
}

// ownDigest returns this node's digest of a number, or the oldest known one.
func (t *Table) ownDigest(seq uint32) *ownDigest {
	for i := range t.ownDigests {
		if t.ownDigests[i].seq == seq {
			return t.ownDigests[i]
		}
	}
	if len(t.ownDigests) == 0 {
		return nil
	}
	return t.ownDigests[0]
}

// CollectedAge returns how long ago the word of a collector came that Loads rests on, and false
// where it rests on what the peers tell themselves.
func (t *Table) CollectedAge(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.collected(now)
	if c == nil {
		return 0, false
	}
	return now.Sub(c.at), true
}

// collected returns what a collector tells, unless the peers that are heard directly are more, and at
// a collector also where they are nearly as many. Of several that hear nearly as many nodes, the
// newest counts.
func (t *Table) collected(now time.Time) *heardCollected {
	direct, most := 0, 0
	for _, p := range t.peers {
		if now.Sub(p.at) > Fresh {
			continue
		}
		direct++
		if p.collected != nil {
			most = max(most, p.collected.nodes)
		}
	}
	if most == 0 || float64(most) < clearMajority*float64(direct) {
		return nil
	}
	if t.collects && clearMajority*float64(most) <= float64(direct) {
		return nil
	}
	var best *heardCollected
	for _, p := range t.peers {
		c := p.collected
		if c == nil || now.Sub(p.at) > Fresh || float64(c.nodes) < clearMajority*float64(most) {
			continue
		}
		if best == nil || c.at.After(best.at) {
			best = c
		}
	}
	return best
}

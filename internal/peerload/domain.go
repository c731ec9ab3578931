package peerload

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/pace"
)

// domainMethod is the name of the notification.
const domainMethod = "node.domain"

// DomainDigest is what a node says of its whole failure domain to nodes of others, in a large
// system, where these don't hear each node there.
type DomainDigest struct {
	Node        string `json:"node"` // the speaker
	Domain      string `json:"domain"`
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	// Names are the oldest weights whose parts any node of the domain names at stores, and
	// Members are the nodes, the speaker included, that promised so.
	Names   []Named `json:"names,omitempty"`
	Members Members `json:"members"`
}

// Members stand for the names of a set of nodes: the sum of their hashes. A number of nodes
// would not do, as one may go and another come.
type Members uint64

// MembersOf returns what stands for the names, in any order.
func MembersOf(names ...string) Members {
	var sum Members
	for _, name := range names {
		sum += Members(xxhash.Sum64String(name))
	}
	return sum
}

// Neighbours are the nodes of a failure domain but for this one, and whether this one speaks
// for them.
type Neighbours struct {
	Others []string
	Speaks bool
}

// domainPromise is the oldest version that the nodes of a failure domain name, since when at
// the latest.
type domainPromise struct {
	oldest  int64
	members Members
	since   time.Time
}

// heardDomain is the newest digest of a failure domain, with what was promised so far.
type heardDomain struct {
	digest   DomainDigest
	at       time.Time
	names    map[string]domainPromise // by model
	speakers map[string]time.Time     // when each node that speaks for it was heard
}

// speakerTime is how long a node counts as one that speaks for its failure domain after its last
// word: two or three of its messages.
const speakerTime = 4 * time.Second

// promised returns the promises with what a digest adds. They only rise, whoever speaks, as
// each speaker knows of promises alone. A speaker that knows of other nodes promises anew.
func promised(before map[string]domainPromise, d *DomainDigest, now time.Time) map[string]domainPromise {
	for _, n := range d.Names {
		if before == nil {
			before = make(map[string]domainPromise)
		}
		known := before[n.Model]
		if n.Oldest > known.oldest || n.Oldest == known.oldest && d.Members != known.members {
			before[n.Model] = domainPromise{oldest: n.Oldest, members: d.Members, since: now}
		}
	}
	return before
}

// TakeDomain notes what a speaker says of its failure domain. One that came after a newer one
// of the same speaker is dropped; of two speakers the last one heard counts.
func (t *Table) TakeDomain(d DomainDigest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.domains[d.Domain]
	last := &known.digest
	if last.Node == d.Node && (d.Incarnation < last.Incarnation || d.Incarnation == last.Incarnation && d.Seq <= last.Seq) {
		return
	}
	if known.speakers == nil {
		known.speakers = make(map[string]time.Time)
	}
	known.speakers[d.Node] = now
	t.domains[d.Domain] = heardDomain{digest: d, at: now, names: promised(known.names, &d, now), speakers: known.speakers}
}

// speakers returns the nodes that spoke for a failure domain lately, and forgets others.
func (t *Table) speakers(domain string, now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lately := make(map[string]bool)
	heard := t.domains[domain].speakers
	for node, at := range heard {
		if now.Sub(at) > speakerTime {
			delete(heard, node)
			continue
		}
		lately[node] = true
	}
	return lately
}

// UnnamedIn returns since when the nodes of another failure domain have named only newer
// versions of a model at stores, and false where not all have said so, or others have.
func (t *Table) UnnamedIn(domain string, members Members, model string, version int64) (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.domains[domain].names[model]
	return p.since, p.oldest > version && p.members == members
}

// oldestNamed returns the oldest version of a model that any of the nodes names, 0 where one
// of them has not said.
func (t *Table) oldestNamed(model string, nodes []string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least int64
	for i, node := range nodes {
		if p := t.peers[node].names[model]; i == 0 || p.oldest < least {
			least = p.oldest
		}
	}
	return least
}

// sendDomain tells all nodes which weights' parts those of this failure domain name, if this
// node speaks for it: in a large system they don't hear one another, in their own domain
// neither. It returns the bytes of all messages.
func (e *Exchange) sendDomain(peers *audience) (bytes int) {
	now := e.config.Clock.Now()
	all := len(peers.near) + len(peers.far)
	if len(peers.far) == 0 || !e.speaks(now) || now.Sub(e.toldDomain) < pace.DomainDigests(all) {
		return 0
	}
	near := e.config.Neighbours()
	if !near.Speaks {
		return 0
	}
	e.toldDomain = now
	return e.config.Conn.Notify(slices.Concat(peers.near, peers.far), domainMethod, DomainDigest{
		Node: e.config.Node, Domain: e.config.Domain, Incarnation: e.incarnation, Seq: e.seq,
		Names:   e.Table.DomainNames(e.config.Names(), near.Others),
		Members: MembersOf(near.Others...) + MembersOf(e.config.Node),
	})
}

// DomainNames returns the oldest version of each model that this node, which names own, or any
// of the others names at stores, where all have said.
func (t *Table) DomainNames(own []Named, others []string) []Named {
	var names []Named
	for _, n := range own {
		if len(others) > 0 {
			n.Oldest = min(n.Oldest, t.oldestNamed(n.Model, others))
		}
		if n.Oldest > 0 {
			names = append(names, n)
		}
	}
	return names
}

// takeDomain notes what a node of another failure domain tells.
func (e *Exchange) takeDomain(params json.RawMessage) (any, error) {
	var d DomainDigest
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, eris.Wrap(err, "decode a failure domain's digest")
	}
	e.Table.TakeDomain(d, e.config.Clock.Now())
	return nil, nil
}

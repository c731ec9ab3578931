package peerload

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/intervals"
)

// domainMethod is the name of the notification that carries a DomainDigest.
const domainMethod = "node.domain"

// DomainDigest is the report of a representative on its whole failure domain. It is sent to all
// nodes of a large system, also those of the same domain, which don't receive digests from every
// node.
type DomainDigest struct {
	Node        string `json:"node"` // the representative
	Domain      string `json:"domain"`
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	// References are the oldest versions whose parts any node of the domain still references at
	// stores. Members identifies the nodes that confirmed this, including the representative.
	References []OldestReferenced `json:"names,omitempty"`
	Members    Members            `json:"members"`
}

// Members identifies a set of nodes by the sum of the hashes of their names. A node count would be
// the same if one node was replaced by another.
type Members uint64

// MembersOf returns the identifier of a set of nodes, given their names in any order.
func MembersOf(names ...string) Members {
	var sum Members
	for _, name := range names {
		sum += Members(xxhash.Sum64String(name))
	}
	return sum
}

// Neighbours are the other nodes of this node's failure domain. Represents is true if this node
// represents them, that is, sends its failure domain's reports to other nodes.
type Neighbours struct {
	Others     []string
	Represents bool
}

// domainWatermark is the oldest version that the nodes of a failure domain still reference, and the
// time at which it was first reported by this set of members.
type domainWatermark struct {
	oldest  int64
	members Members
	since   time.Time
}

// domainState is the latest digest of a failure domain and the watermarks reported so far.
type domainState struct {
	digest          DomainDigest
	at              time.Time
	watermarks      map[string]domainWatermark // by model
	representatives map[string]time.Time       // time of the last digest of each representative
}

// representativeLifetime is how long a node counts as a representative of its failure domain after
// its last digest: two or three intervals between digests.
const representativeLifetime = 4 * time.Second

// updateDomainWatermarks applies a digest to the watermarks. They only rise, whichever
// representative reports, because each one reports confirmed watermarks only. A report for another
// set of members restarts the watermark's time.
func updateDomainWatermarks(watermarks map[string]domainWatermark, d *DomainDigest, now time.Time) map[string]domainWatermark {
	for _, n := range d.References {
		if watermarks == nil {
			watermarks = make(map[string]domainWatermark)
		}
		known := watermarks[n.Model]
		if n.Oldest > known.oldest || n.Oldest == known.oldest && d.Members != known.members {
			watermarks[n.Model] = domainWatermark{oldest: n.Oldest, members: d.Members, since: now}
		}
	}
	return watermarks
}

// RecordDomainDigest records a representative's digest of its failure domain. A digest that is
// older than the latest one of the same representative is dropped. With two representatives, the
// digest received last is used.
func (t *Table) RecordDomainDigest(d DomainDigest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.domains[d.Domain]
	last := &known.digest
	if last.Node == d.Node && (d.Incarnation < last.Incarnation || d.Incarnation == last.Incarnation && d.Seq <= last.Seq) {
		return
	}
	if known.representatives == nil {
		known.representatives = make(map[string]time.Time)
	}
	known.representatives[d.Node] = now
	t.domains[d.Domain] = domainState{digest: d, at: now, watermarks: updateDomainWatermarks(known.watermarks, &d, now), representatives: known.representatives}
}

// representatives returns the nodes that recently reported on a failure domain, and discards
// expired ones.
func (t *Table) representatives(domain string, now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := make(map[string]bool)
	lastDigests := t.domains[domain].representatives
	for node, at := range lastDigests {
		if now.Sub(at) > representativeLifetime {
			delete(lastDigests, node)
			continue
		}
		active[node] = true
	}
	return active
}

// UnreferencedInDomainSince returns the time since which the nodes of a failure domain have
// referenced only versions of a model newer than the given one. It returns false if the domain's
// watermark isn't newer than version or was confirmed by another set of members.
func (t *Table) UnreferencedInDomainSince(domain string, members Members, model string, version int64) (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.domains[domain].watermarks[model]
	return p.since, p.oldest > version && p.members == members
}

// oldestReferenced returns the oldest version of a model that any of the nodes still references, or
// 0 if one of them has not reported any.
func (t *Table) oldestReferenced(model string, nodes []string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest int64
	for i, node := range nodes {
		if p := t.peers[node].watermarks[model]; i == 0 || p.oldest < oldest {
			oldest = p.oldest
		}
	}
	return oldest
}

// sendDomainDigest sends the watermarks of this failure domain to all nodes if this node
// represents it. In a large system nodes don't receive each other's digests, not even within their
// failure domain. It returns the bytes of all messages.
func (e *Exchange) sendDomainDigest(peers *recipients) (bytes int) {
	now := e.config.Clock.Now()
	all := len(peers.local) + len(peers.remote)
	if len(peers.remote) == 0 || !e.mayRepresentDomain(now) || now.Sub(e.domainDigestSentAt) < intervals.DomainDigestInterval(all) {
		return 0
	}
	neighbours := e.config.Neighbours()
	if !neighbours.Represents {
		return 0
	}
	e.domainDigestSentAt = now
	return e.config.Conn.Notify(slices.Concat(peers.local, peers.remote), domainMethod, DomainDigest{
		Node: e.config.Node, Domain: e.config.Domain, Incarnation: e.incarnation, Seq: e.seq.Load(),
		References: e.Table.DomainReferences(e.config.References(), neighbours.Others),
		Members:    MembersOf(neighbours.Others...) + MembersOf(e.config.Node),
	})
}

// DomainReferences returns the oldest version of each model that this node, given in own, or any of
// the others still references at stores. Models for which one of the nodes has not reported a
// version are left out.
func (t *Table) DomainReferences(own []OldestReferenced, others []string) []OldestReferenced {
	var references []OldestReferenced
	for _, n := range own {
		if len(others) > 0 {
			n.Oldest = min(n.Oldest, t.oldestReferenced(n.Model, others))
		}
		if n.Oldest > 0 {
			references = append(references, n)
		}
	}
	return references
}

// receiveDomainDigest handles a digest of a failure domain, which may be this node's own.
func (e *Exchange) receiveDomainDigest(params json.RawMessage) (any, error) {
	var d DomainDigest
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, eris.Wrap(err, "decode domain digest")
	}
	e.Table.RecordDomainDigest(d, e.config.Clock.Now())
	return nil, nil
}

// Package peerload tells the other gateway nodes, several times a second, what this
// node has under way at each endpoint, and hears the same from them.
//
// Messages are JSON-RPC notifications, one a datagram, so a peer that is frozen, cut
// off or gone holds nobody up. Nothing but the quality of placement rests on them:
// what is lost is made up by the next one, and what is older than Fresh is not used.
package peerload

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// Interval is the time between two messages of a node.
	Interval = 150 * time.Millisecond
	// Fresh is how long a message is used: a few lost ones are bridged.
	Fresh = 800 * time.Millisecond
	// heardFor is how long a node counts as one of those that share a budget after
	// its last message.
	heardFor = 10 * time.Second
)

// Digest is what a node says of itself.
type Digest struct {
	Node string `json:"node"`
	// Incarnation tells starts of the node apart; later ones are greater.
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Loads       []Load `json:"loads,omitempty"`
	// Closed are the engines that this node has loaded now.
	Closed []Closed `json:"closed,omitempty"`
}

// Load is what the node has under way at an endpoint.
type Load struct {
	Endpoint string `json:"endpoint"`
	Running  int    `json:"running"`
	Reading  int    `json:"reading"` // prompt tokens that wait to be read
	Holding  int    `json:"holding"` // tokens in the endpoint's memory
	// Model and Version are weights that the node saw in an answer before the
	// registry told of them; a version of 0 says nothing.
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
}

// Closed is an engine that is about to load.
type Closed struct {
	Endpoint string `json:"endpoint"`
	Loads    bool   `json:"loads"` // it takes no requests, not even short ones
	ForMs    int64  `json:"for_ms"`
}

// Table holds the newest digest of each peer. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	peers map[string]heard
	most  int // the largest number of nodes seen at once
}

type heard struct {
	digest Digest
	at     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{peers: make(map[string]heard)} }

// Take notes a digest. One that is older than what is known of the node is dropped.
func (t *Table) Take(d Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[d.Node].digest
	if d.Incarnation < known.Incarnation || d.Incarnation == known.Incarnation && d.Seq <= known.Seq {
		return
	}
	t.peers[d.Node] = heard{digest: d, at: now}
	t.most = max(t.most, t.count(now))
}

// Loads returns the sum of what the peers have under way, by endpoint.
func (t *Table) Loads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]Load)
	for _, p := range t.peers {
		if now.Sub(p.at) > Fresh {
			continue
		}
		for _, l := range p.digest.Loads {
			sum := sums[l.Endpoint]
			sum.Running += l.Running
			sum.Reading += l.Reading
			sum.Holding += l.Holding
			sums[l.Endpoint] = sum
		}
	}
	return sums
}

// Closed returns the engines that peers have loaded now, and whether each refuses
// all requests.
func (t *Table) Closed(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := make(map[string]bool)
	for _, p := range t.peers {
		for _, c := range p.digest.Closed {
			if now.Sub(p.at) < time.Duration(c.ForMs)*time.Millisecond {
				closed[c.Endpoint] = closed[c.Endpoint] || c.Loads
			}
		}
	}
	return closed
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

// LoadsOf returns what this node has under way and what it saw, without endpoints
// that it has nothing to say of.
func LoadsOf(members []*fleet.Member) []Load {
	var loads []Load
	for _, m := range members {
		l := Load{Endpoint: m.ID, Running: m.Load.Running(), Reading: m.Load.Reading(), Holding: m.Load.Holding()}
		if seen := m.Seen(); seen != nil {
			l.Model, l.Version = seen.Model, seen.Version
		}
		if l.Running > 0 || l.Reading > 0 || l.Version > 0 {
			loads = append(loads, l)
		}
	}
	return loads
}

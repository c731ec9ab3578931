package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/peerload"
)

// errDisconnected is the error of calls to the store by a disconnected node.
var errDisconnected = errors.New("disconnected from the store")

// memoryTopic is a topic in memory. It is not safe for concurrent use.
type memoryTopic struct {
	records       []follow.Record
	writes, reads int // successful calls
}

func (t *memoryTopic) put(key string, value []byte, end int64) error {
	if end >= 0 && end != int64(len(t.records)) {
		return follow.ErrChanged
	}
	t.writes++
	t.records = append(t.records, follow.Record{Key: key, Value: value, Offset: int64(len(t.records))})
	return nil
}

// newest returns the newest record of each key that is not removed.
func (t *memoryTopic) newest() []follow.Record {
	newest := make(map[string]follow.Record)
	for _, r := range t.records {
		newest[r.Key] = r
	}
	var list []follow.Record
	for _, r := range newest {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return list
}

// simNode is a simulated node that runs only the handling of the list of nodes, step by step. Its
// process may be frozen, disconnected from the store, or silent: it then neither sends messages to
// other nodes nor receives any.
type simNode struct {
	*roster
	sharedTopic *memoryTopic
	sweeper     *sweeper

	frozen, disconnected, silent bool

	next                int64 // offset of the next read
	sent                time.Time
	response            *follow.Batch // response to the read in progress; nil while it waits
	announceAt, sweepAt time.Time
}

var _ nodesTopic = (*simNode)(nil)

// Read implements nodesTopic.
func (n *simNode) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	if n.disconnected {
		return follow.Page{}, errDisconnected
	}
	n.sharedTopic.reads++
	return follow.Page{Records: n.sharedTopic.records[from:], Next: int64(len(n.sharedTopic.records))}, nil
}

// Put implements nodesTopic.
func (n *simNode) Put(ctx context.Context, key string, value []byte) error {
	return n.PutIf(ctx, key, value, -1)
}

// PutIf implements nodesTopic.
func (n *simNode) PutIf(_ context.Context, key string, value []byte, end int64) error {
	if n.disconnected {
		return errDisconnected
	}
	return n.sharedTopic.put(key, value, end)
}

// read simulates a read that waits for a change. Its response proves the state at the time the read
// was sent, and is applied once the process runs.
func (n *simNode) read() {
	if n.disconnected {
		n.sent, n.response = time.Time{}, nil
		return
	}
	if n.sent.IsZero() {
		n.sent = time.Now()
	}
	end := int64(len(n.sharedTopic.records))
	first := n.next < 0
	if n.response == nil && (first || n.next < end || time.Since(n.sent) >= nodesWait) {
		n.response = &follow.Batch{Snapshot: first, ConfirmedAt: n.sent, Next: end, Records: n.sharedTopic.newest()}
		if !first {
			n.response.Records = n.sharedTopic.records[n.next:]
		}
		n.sharedTopic.reads++
	}
	if n.frozen || n.response == nil {
		return
	}
	n.Apply(*n.response)
	n.next, n.response, n.sent = n.response.Next, nil, time.Now()
}

// step performs the work whose time has come: reads, writing of the entry, sweep.
func (n *simNode) step(ctx context.Context) {
	n.read()
	if n.frozen {
		return
	}
	now := time.Now()
	if !now.Before(n.announceAt) {
		n.announceAt = now.Add(n.announceOnce(ctx))
	}
	if !now.Before(n.sweepAt) {
		n.sweepAt = now.Add(sweepInterval)
		n.sweeper.sweep(ctx, now)
	}
}

// cluster is a set of simulated nodes that share a topic.
type cluster struct {
	sharedTopic *memoryTopic
	nodes       map[string]*simNode
	order       []*simNode // in the order of their start
}

func newCluster() *cluster {
	return &cluster{sharedTopic: &memoryTopic{}, nodes: make(map[string]*simNode)}
}

// start starts a node with an address derived from number.
func (c *cluster) start(name string, number int, domain string) *simNode {
	n := &simNode{sharedTopic: c.sharedTopic, next: -1, sweepAt: time.Now().Add(sweepInterval)}
	own := nodeEntry{Addr: fmt.Sprintf("10.0.0.%d:7700", 1+number), Domain: domain}
	n.roster = newRoster(name, own, n, func([]peerload.Peer) {}, func(other string) bool { return c.connected(n, other) }, zerolog.Nop())
	n.sweeper = &sweeper{
		roster: n.roster,
		alive: func(other, domain string, _ time.Duration) bool {
			return c.connected(n, other) || c.connectedToDomain(n, domain)
		},
		connected: func(time.Duration) bool { return c.connectedToAny(n) },
	}
	c.nodes[name] = n
	c.order = append(c.order, n)
	return n
}

// startAll starts the given number of nodes in three failure domains, and waits until all are
// listed.
func (c *cluster) startAll(t *testing.T, count int) {
	t.Helper()
	for i := range count {
		c.start(fmt.Sprint("n", i), i, fmt.Sprint("d", i%3))
	}
	c.run(t, 2*nodesWait)
	c.requireCount(t, count)
}

// stop stops a node permanently.
func (c *cluster) stop(name string) { delete(c.nodes, name) }

// run simulates the passing of a time.
func (c *cluster) run(t *testing.T, d time.Duration) {
	t.Helper()
	const step = 100 * time.Millisecond
	for range int(d / step) {
		for _, n := range c.order {
			if c.nodes[n.node] == n {
				n.step(t.Context())
			}
		}
		time.Sleep(step)
	}
}

// requireCount checks that every node counts the given number of nodes.
func (c *cluster) requireCount(t *testing.T, count int) {
	t.Helper()
	for name, n := range c.nodes {
		must.Eq(t, count, n.Nodes(), must.Sprint(name))
	}
}

// connected reports whether a node receives the messages of another one.
func (c *cluster) connected(n *simNode, other string) bool {
	peer := c.nodes[other]
	return peer != nil && peer != n && !n.silent && !peer.silent && !peer.frozen
}

// connectedToAny reports whether a node receives messages of any other.
func (c *cluster) connectedToAny(n *simNode) bool {
	for name := range c.nodes {
		if c.connected(n, name) {
			return true
		}
	}
	return false
}

// connectedToDomain reports whether a node receives the messages of a representative of another
// failure domain, which only large systems have.
func (c *cluster) connectedToDomain(n *simNode, domain string) bool {
	for name, peer := range c.nodes {
		if domain != n.own.Domain && peer.own.Domain == domain && !intervals.FullMesh(peer.Nodes()) && c.connected(n, name) {
			return true
		}
	}
	return false
}

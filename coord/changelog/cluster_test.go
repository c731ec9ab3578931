package changelog_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
)

// limit is the value of test objects.
type limit struct {
	PerSecond int    `json:"per_second"`
	Note      string `json:"note,omitempty"`
}

type limits struct{} // implements changelog.Schema

func (limits) Decode(_ string, raw json.RawMessage) (l limit, err error) {
	return l, json.Unmarshal(raw, &l)
}

func (limits) Validate(_ *changelog.Snapshot[limit], _ changelog.Change, l limit) error {
	if l.PerSecond < 0 {
		return errors.New("per_second must not be negative")
	}
	return nil
}

func value(n int) json.RawMessage { return fmt.Appendf(nil, `{"per_second": %d}`, n) }

var errUnreachable = errors.New("peer is unreachable")

// Range of the network delay of a message.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 45 * time.Millisecond
)

// node is one member of a cluster.
type node struct {
	name     string
	store    *changelog.Store[limit]
	follower *changelog.Follower[limit]
	stop     context.CancelFunc
	done     chan struct{}
	isolated bool // exchanges no messages with peers; also set for a stopped node
	side     int  // of a network partition; the log is reachable on side 0
	sent     int  // notices, pulls and responses sent
	bytes    int  // sent and received
}

// cluster runs followers with one log and a simulated network with delay and loss.
type cluster struct {
	t      *testing.T
	log    *logtest.Log
	policy changelog.CheckpointPolicy
	delay  func() time.Duration
	loss   func() bool
	mu     sync.Mutex
	nodes  map[string]*node
	names  []string
	check  *changelog.Checker[limit]
	seed   uint64
}

func newCluster(t *testing.T, n int) *cluster {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	var mu sync.Mutex
	c := &cluster{
		t:      t,
		log:    &logtest.Log{Delay: 5 * time.Millisecond},
		policy: changelog.CheckpointPolicy{Changes: 10000, Interval: time.Hour},
		loss:   func() bool { return false },
		nodes:  make(map[string]*node),
		check:  changelog.NewChecker[limit](),
		delay: func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return minDelay + time.Duration(rng.Int64N(int64(maxDelay-minDelay)))
		},
	}
	for i := range n {
		c.start(fmt.Sprintf("node-%04d", i))
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) start(name string) *node {
	c.mu.Lock()
	c.seed++
	n := &node{name: name, done: make(chan struct{})}
	n.store = changelog.NewStore(partitionedLog{c.log, c, n}, limits{}, 0)
	n.follower = changelog.NewFollower(n.store, &peerLink{c, n}, changelog.Options{
		Self: name, Checkpoint: c.policy, MaxLogAge: 2 * time.Hour, MaxContactAge: 30 * time.Second,
		Rand: rand.New(rand.NewPCG(c.seed, 7)),
	})
	c.nodes[name] = n
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
	c.mu.Unlock()
	c.check.RecordRestart(name)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		n.follower.Run(ctx)
	}()
	return n
}

// partitionedLog fails the reads of a node that is not on side 0 of the partition.
type partitionedLog struct {
	changelog.Log
	c *cluster
	n *node
}

func (l partitionedLog) Read(ctx context.Context, from int64, limit int) (changelog.Batch, error) {
	l.c.mu.Lock()
	side := l.n.side
	l.c.mu.Unlock()
	if side != 0 {
		return changelog.Batch{}, logtest.ErrDown
	}
	return l.Log.Read(ctx, from, limit)
}

// setIsolated disconnects a node from its peers or connects it again.
func (c *cluster) setIsolated(n *node, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.isolated = isolated
}

// kill stops a node and, if removed is true, removes it from the member list.
func (c *cluster) kill(n *node, removed bool) {
	c.mu.Lock()
	n.isolated = true
	if removed {
		c.names = slices.DeleteFunc(slices.Clone(c.names), func(s string) bool { return s == n.name })
	}
	c.mu.Unlock()
	n.stop()
	<-n.done
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

func (c *cluster) node(i int) *node { return c.nodes[fmt.Sprintf("node-%04d", i)] }

// connected returns the members that are not isolated, sorted by name.
func (c *cluster) connected() (list []*node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		if n := c.nodes[name]; !n.isolated {
			list = append(list, n)
		}
	}
	return list
}

// propose proposes a change with a timeout and checks the outcome.
func (c *cluster) propose(n *node, ch changelog.Change, within time.Duration) (changelog.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	c.check.RecordProposal(ch)
	o, err := n.store.Propose(ctx, ch)
	if o.Status != "" {
		must.NoError(c.t, c.check.CheckOutcome(ch, o))
	}
	return o, err
}

// put sets a limit, based on the snapshot of the node. The change must be accepted.
func (c *cluster) put(n *node, key string, perSecond int) changelog.Outcome {
	o, err := c.propose(n, n.store.Snapshot().Put("limit", key, value(perSecond)), time.Minute)
	must.NoError(c.t, err)
	return o
}

// converge waits until all connected nodes have applied the offset, and checks their
// states. It returns the time that each node took.
func (c *cluster) converge(offset int64, within time.Duration) (elapsed []time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	start := time.Now()
	for _, n := range c.connected() {
		must.NoError(c.t, n.store.WaitApplied(ctx, offset), must.Sprintf("%s: %+v", n.name, n.follower.Status()))
		elapsed = append(elapsed, time.Since(start))
	}
	for _, n := range c.connected() {
		must.NoError(c.t, c.check.CheckState(n.name, n.store.Snapshot()))
	}
	return elapsed
}

// waitReady waits until all connected nodes are ready.
func (c *cluster) waitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, n := range c.connected() {
		for !n.store.Ready() {
			must.True(c.t, time.Now().Before(deadline), must.Sprintf("%s is not ready", n.name))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// peerLink is a node's connection to its peers.
type peerLink struct {
	c *cluster
	n *node
}

var _ changelog.Peers = (*peerLink)(nil)

func (l *peerLink) Members() []string {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return l.c.names
}

// transmit sends size bytes to a peer. It fails on loss or if the peer is unreachable.
func (l *peerLink) transmit(ctx context.Context, to string, size int) (*node, error) {
	select {
	case <-time.After(l.c.delay()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	peer := l.c.nodes[to]
	l.n.sent++
	l.n.bytes += size
	if peer == nil || peer.isolated || l.n.isolated || peer.side != l.n.side || l.c.loss() {
		return nil, errUnreachable
	}
	peer.bytes += size
	return peer, nil
}

func wireSize(v any) int {
	data, _ := json.Marshal(v)
	return len(data)
}

func (l *peerLink) Notify(ctx context.Context, to string, n changelog.Notice) error {
	peer, err := l.transmit(ctx, to, wireSize(n))
	if err != nil {
		return err
	}
	peer.follower.Handle(n)
	return nil
}

func (l *peerLink) Records(ctx context.Context, to string, from int64) (changelog.Notice, error) {
	peer, err := l.transmit(ctx, to, wireSize(from))
	if err != nil {
		return changelog.Notice{}, err
	}
	n, err := peer.follower.Records(from)
	if err != nil {
		return n, err
	}
	_, err = (&peerLink{l.c, peer}).transmit(ctx, l.n.name, wireSize(n))
	return n, err
}

func (l *peerLink) Image(ctx context.Context, to string) ([]byte, error) {
	peer, err := l.transmit(ctx, to, 0)
	if err != nil {
		return nil, err
	}
	image, err := peer.follower.Image()
	if err != nil {
		return nil, err
	}
	_, err = (&peerLink{l.c, peer}).transmit(ctx, l.n.name, len(image))
	return image, err
}

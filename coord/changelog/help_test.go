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

// limit is the value of the tests' objects.
type limit struct {
	PerSecond int    `json:"per_second"`
	Note      string `json:"note,omitempty"`
}

type limits struct{}

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

// A message spends this long on the network of a cluster.
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
	cut      bool // reaches no peer and isn't reached
	side     int  // of a partition; the log is on side 0
	sent     int  // notices, pulls and their answers
	bytes    int  // of those, sent and received
}

// cluster runs followers over one log and a network with delay and loss.
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
	n.store = changelog.NewStore(sidedLog{c.log, c, n}, limits{}, 0)
	n.follower = changelog.NewFollower(n.store, &link{c, n}, changelog.Options{
		Self: name, Checkpoint: c.policy, MaxStale: 2 * time.Hour, MaxIsolated: 30 * time.Second,
		Rand: rand.New(rand.NewPCG(c.seed, 7)),
	})
	c.nodes[name] = n
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
	c.mu.Unlock()
	c.check.Restarted(name)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		n.follower.Run(ctx)
	}()
	return n
}

// sidedLog is the log as a node reaches it.
type sidedLog struct {
	changelog.Log
	c *cluster
	n *node
}

func (l sidedLog) Read(ctx context.Context, from int64, limit int) (changelog.Batch, error) {
	l.c.mu.Lock()
	side := l.n.side
	l.c.mu.Unlock()
	if side != 0 {
		return changelog.Batch{}, logtest.ErrDown
	}
	return l.Log.Read(ctx, from, limit)
}

// setCut cuts a node off from its peers, or ends that.
func (c *cluster) setCut(n *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.cut = cut
}

// kill stops a node; with gone the member view drops it at once.
func (c *cluster) kill(n *node, gone bool) {
	c.mu.Lock()
	n.cut = true
	if gone {
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

// live returns the nodes that aren't cut off, by name.
func (c *cluster) live() (list []*node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		if n := c.nodes[name]; !n.cut {
			list = append(list, n)
		}
	}
	return list
}

// propose proposes within a time and tells the checker.
func (c *cluster) propose(n *node, ch changelog.Change, within time.Duration) (changelog.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	c.check.Proposing(ch)
	o, err := n.store.Propose(ctx, ch)
	if o.Status != "" {
		must.NoError(c.t, c.check.Decided(ch, o))
	}
	return o, err
}

// put proposes to set a limit on what the node sees, and must succeed.
func (c *cluster) put(n *node, key string, perSecond int) changelog.Outcome {
	o, err := c.propose(n, n.store.Snapshot().Put("limit", key, value(perSecond)), time.Minute)
	must.NoError(c.t, err)
	return o
}

// converge waits until all live nodes have the offset, and checks their states.
// It returns how long each took.
func (c *cluster) converge(offset int64, within time.Duration) (took []time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	start := time.Now()
	for _, n := range c.live() {
		must.NoError(c.t, n.store.WaitApplied(ctx, offset), must.Sprintf("%s: %+v", n.name, n.follower.Status()))
		took = append(took, time.Since(start))
	}
	for _, n := range c.live() {
		must.NoError(c.t, c.check.Observe(n.name, n.store.Snapshot()))
	}
	return took
}

// ready waits until all live nodes are ready.
func (c *cluster) ready(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, n := range c.live() {
		for !n.store.Ready() {
			must.True(c.t, time.Now().Before(deadline), must.Sprintf("%s isn't ready", n.name))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// link is a node's way to its peers.
type link struct {
	c *cluster
	n *node
}

var _ changelog.Peers = (*link)(nil)

func (l *link) Members() []string {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return l.c.names
}

// cross carries bytes to a peer or fails.
func (l *link) cross(ctx context.Context, to string, size int) (*node, error) {
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
	if peer == nil || peer.cut || l.n.cut || peer.side != l.n.side || l.c.loss() {
		return nil, errUnreachable
	}
	peer.bytes += size
	return peer, nil
}

func wireSize(v any) int {
	data, _ := json.Marshal(v)
	return len(data)
}

func (l *link) Notify(ctx context.Context, to string, n changelog.Notice) error {
	peer, err := l.cross(ctx, to, wireSize(n))
	if err != nil {
		return err
	}
	peer.follower.Handle(n)
	return nil
}

func (l *link) Records(ctx context.Context, to string, from int64) (changelog.Notice, error) {
	peer, err := l.cross(ctx, to, wireSize(from))
	if err != nil {
		return changelog.Notice{}, err
	}
	n, err := peer.follower.Records(from)
	if err != nil {
		return n, err
	}
	_, err = (&link{l.c, peer}).cross(ctx, l.n.name, wireSize(n))
	return n, err
}

func (l *link) Snapshot(ctx context.Context, to string) ([]byte, error) {
	peer, err := l.cross(ctx, to, 0)
	if err != nil {
		return nil, err
	}
	image, err := peer.follower.Image()
	if err != nil {
		return nil, err
	}
	_, err = (&link{l.c, peer}).cross(ctx, l.n.name, len(image))
	return image, err
}

package changelog_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
)

// Expected load: 57,000 changes a day of about 500 bytes each.
const (
	changeInterval = 24 * time.Hour / 57000
	noteLen        = 300
)

var spreadSpan = flag.Duration("spread", 0, "virtual duration of each measurement of TestSpread; a longer duration gives steadier results")

// delays collects the time from the append of each change until each node applied
// it.
type delays struct {
	mu       sync.Mutex
	appended map[int64]time.Time
	elapsed  []time.Duration
}

func (d *delays) add(at time.Time, events []changelog.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if start, ok := d.appended[e.Offset]; ok {
			d.elapsed = append(d.elapsed, at.Sub(start))
		}
	}
}

// timedLog records the time of each append.
type timedLog struct {
	changelog.Log
	d *delays
}

func (l timedLog) Append(ctx context.Context, data []byte) (int64, error) {
	start := time.Now()
	offset, err := l.Log.Append(ctx, data)
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.appended[offset] = start
	return offset, err
}

// recordDelays watches all connected nodes and collects the delay of each change.
func (c *cluster) recordDelays(ctx context.Context, wg *sync.WaitGroup, d *delays) {
	for _, n := range c.connected() {
		wg.Go(func() {
			after := n.store.Snapshot().Applied()
			for {
				u, err := n.store.Watch(ctx, after)
				if err != nil {
					return
				}
				d.add(time.Now(), u.Events)
				after = u.Snapshot.Applied()
			}
		})
	}
}

// writeChanges proposes changes at the expected rate through a store, until span has
// passed.
func writeChanges(t *testing.T, s *changelog.Store[limit], rng *rand.Rand, span time.Duration) {
	note := strings.Repeat("x", noteLen)
	for end := time.Now().Add(span); time.Now().Before(end); {
		ch := s.Snapshot().Put("limit", fmt.Sprintf("account-%04d", rng.IntN(1300)),
			fmt.Appendf(nil, `{"per_second":%d,"note":%q}`, rng.IntN(1000), note))
		_, err := s.Propose(t.Context(), ch)
		must.NoError(t, err)
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(changeInterval)))
	}
}

// usage is the traffic during a period of virtual time.
type usage struct {
	reads, appends  int
	messages, bytes int
	maxNodeBytes    int // of the busiest node
}

// usage returns the messages and bytes since the counters in before. Its counts of
// log reads and appends are those since the creation of the log; callers subtract
// the earlier ones.
func (c *cluster) usage(before map[string]node) (u usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.log.Traffic()
	u.reads, u.appends = t.Reads, t.Appends
	for name, n := range c.nodes {
		u.messages += n.sent - before[name].sent
		bytes := n.bytes - before[name].bytes
		u.bytes += bytes
		u.maxNodeBytes = max(u.maxNodeBytes, bytes)
	}
	return u
}

// counters returns the current message and byte counts of all nodes.
func (c *cluster) counters() map[string]node {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]node)
	for name, n := range c.nodes {
		m[name] = node{sent: n.sent, bytes: n.bytes}
	}
	return m
}

// measureSpan logs and returns the traffic while work runs, and checks its limits.
func (c *cluster) measureSpan(label string, _ time.Duration, work func()) usage {
	before, log := c.counters(), c.log.Traffic()
	start := time.Now()
	work()
	sec := time.Since(start).Seconds()
	u := c.usage(before)
	u.reads -= log.Reads
	u.appends -= log.Appends
	nodes := float64(len(before))
	c.t.Logf("%-22s n=%4d %3.0fs: log %5.2f reads/s %4.2f appends/s; a node %5.2f messages/s, %5.0f B/s in and out (busiest %5.0f)",
		label, len(before), sec, float64(u.reads)/sec, float64(u.appends)/sec,
		float64(u.messages)/sec/nodes, float64(u.bytes)/sec/nodes, float64(u.maxNodeBytes)/sec)
	must.Less(c.t, 12, float64(u.reads)/sec)
	must.Less(c.t, 5000, float64(u.maxNodeBytes)/sec)
	return u
}

func quantile(d []time.Duration, q float64) time.Duration {
	return d[int(q*float64(len(d)-1))].Round(time.Millisecond)
}

// TestSpread measures the delay from append to application and the traffic, and
// checks that no change takes more than 6 s to reach all nodes.
func TestSpread(t *testing.T) {
	for _, tc := range []struct {
		nodes int
		span  time.Duration
		loss  float64
	}{
		{7, time.Minute, 0},
		{100, 20 * time.Second, 0},
		{100, 20 * time.Second, 0.05},
		{1000, 10 * time.Second, 0},
	} {
		if *spreadSpan > 0 {
			tc.span = *spreadSpan
		}
		for _, inside := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d/loss=%v/inside=%v", tc.nodes, tc.loss, inside), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureSpread(t, tc.nodes, tc.span, tc.loss, inside) })
			})
		}
	}
}

// measureSpread writes through a member of the cluster (inside), or through a store
// that is not a member, so that the cluster finds the changes only by polling.
func measureSpread(t *testing.T, nodes int, span time.Duration, loss float64, inside bool) {
	rng := rand.New(rand.NewPCG(3, uint64(nodes)))
	c := newCluster(t, nodes)
	lossRand := rand.New(rand.NewPCG(4, 4))
	c.loss = func() bool { return lossRand.Float64() < loss } // called under c.mu
	start := time.Now()
	c.waitReady(time.Minute)
	t.Logf("all nodes ready %v after the start, with %d reads of the log", time.Since(start).Round(time.Millisecond), c.log.Traffic().Reads)
	must.Less(t, 20+nodes/5, c.log.Traffic().Reads)
	time.Sleep(10 * time.Second)
	d := &delays{appended: make(map[int64]time.Time)}
	outside := changelog.NewStore(timedLog{c.log, d}, limits{}, 0)
	must.NoError(t, outside.LoadFromLog(t.Context()))
	writer := outside
	if inside {
		writer = c.node(nodes / 2).store
		writer.SetLog(timedLog{c.log, d})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	c.recordDelays(ctx, &wg, d)
	c.measureSpan("57,000 changes a day", span, func() { writeChanges(t, writer, rng, span) })
	time.Sleep(10 * time.Second)
	cancel()
	wg.Wait()
	c.measureSpan("idle", span, func() { time.Sleep(span) })
	slices.Sort(d.elapsed)
	must.Eq(t, len(d.appended)*nodes, len(d.elapsed), must.Sprint("each change must reach each node"))
	t.Logf("%d changes applied on all nodes: p50 %v, p99 %v, max %v", len(d.appended), quantile(d.elapsed, 0.5), quantile(d.elapsed, 0.99), quantile(d.elapsed, 1))
	must.Less(t, 6*time.Second, quantile(d.elapsed, 1))
	c.converge(writer.Snapshot().Applied(), 6*time.Second)
}

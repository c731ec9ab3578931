package peerload

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/weights"
)

// The size of a simulated large system.
const (
	largeSystemNodes, largeSystemDomains = 295, 5
	largeSystemEngines                   = 10
)

// TestReceivedMessageRate bounds the messages per second that nodes of large systems receive:
// collectors receive as many as each node of a system of 12, most nodes far fewer.
func TestReceivedMessageRate(t *testing.T) {
	for _, tc := range []struct{ nodes, domains, maxHighest, maxMean int }{{85, 3, 450, 80}, {largeSystemNodes, largeSystemDomains, 450, 45}} {
		runNetwork(t, tc.nodes, tc.domains, largeSystemEngines, func(t *testing.T, w *network) {
			const seconds = 2
			before := 0
			w.forEachLive(func(n *networkNode) { before += n.received; n.received = 0 })
			for range seconds * 10 {
				w.forEachLive(func(n *networkNode) { n.RequestReport() })
				time.Sleep(100 * time.Millisecond)
			}
			sum, highest := 0, 0
			w.forEachLive(func(n *networkNode) {
				sum += n.received / seconds
				highest = max(highest, n.received/seconds)
			})
			t.Logf("%d nodes: %d messages/s on average, %d at most", tc.nodes, sum/tc.nodes, highest)
			test.LessEq(t, tc.maxHighest, highest)
			test.LessEq(t, tc.maxMean, sum/tc.nodes)
		})
	}
}

// engineOf returns an engine of the node's failure domain.
func (n *networkNode) engineOf() string { return fmt.Sprintf("i-%010d", n.index%len(n.net.domains())) }

// othersAt returns the number of requests that all other nodes of the domain have in progress at
// an engine.
func othersAt(w *network, n *networkNode, engine string) (running int) {
	w.forEachLive(func(o *networkNode) {
		if o == n || o.domain != n.domain {
			return
		}
		for _, m := range o.fleet.All() {
			if m.ID == engine {
				running += m.Load.Running()
			}
		}
	})
	return running
}

// checkLoads checks that every node's Loads match what the other nodes of its domain have in
// progress.
func checkLoads(t *testing.T, w *network, what string) {
	t.Helper()
	w.forEachLive(func(n *networkNode) {
		engine := n.engineOf()
		test.Eq(t, othersAt(w, n, engine), n.Table.Loads(time.Now()).At(engine, 0).Running, test.Sprint(what, " ", n.config.Node))
	})
}

// TestLoadsAreAggregated checks that each node's Loads match the others' within half a second and
// don't count its own twice, also after the loss of both collectors at once, of one collector, and
// of collectors together with standby nodes.
func TestLoadsAreAggregated(t *testing.T) {
	runNetwork(t, 60, 3, largeSystemEngines, func(t *testing.T, w *network) {
		for round := range 3 {
			w.forEachLive(func(n *networkNode) { n.startRequest(n.engineOf()) })
			time.Sleep(500 * time.Millisecond)
			checkLoads(t, w, fmt.Sprint("round ", round))
		}
		domain := w.domain("d0")
		for step, kill := range [][]*networkNode{domain[:2], domain[2:3], domain[3:7]} {
			for _, n := range kill {
				n.kill()
			}
			time.Sleep(3 * time.Second)
			w.forEachLive(func(n *networkNode) { n.startRequest(n.engineOf()) })
			time.Sleep(500 * time.Millisecond)
			checkLoads(t, w, fmt.Sprint("loss ", step))
		}
	})
}

// TestOrdersReachAll checks that the orders of a node that is no collector reach all nodes of all
// domains, and that these count its claim as held until it expires.
func TestOrdersReachAll(t *testing.T) {
	runNetwork(t, 60, 3, largeSystemEngines, func(t *testing.T, w *network) {
		holder := w.domain("d1")[9]
		holder.mu.Lock()
		holder.leads, holder.closed = true, []weights.Closed{{Endpoint: "x", Loads: true}, {Endpoint: "y"}}
		holder.mu.Unlock()
		time.Sleep(800 * time.Millisecond)
		w.forEachLive(func(n *networkNode) {
			now := time.Now()
			test.True(t, n == holder || n.Table.ClaimHeld(now, 8*time.Second), test.Sprint(n.config.Node))
			if n != holder {
				test.Eq(t, map[string]bool{"x": true, "y": false}, n.Table.Closed(now), test.Sprint(n.config.Node))
			}
		})
		holder.kill()
		time.Sleep(2 * time.Second)
		w.forEachLive(func(n *networkNode) {
			test.MapEmpty(t, n.Table.Closed(time.Now()), test.Sprint(n.config.Node))
			test.True(t, n.Table.ClaimHeld(time.Now(), 8*time.Second), test.Sprint("claim not expired yet: ", n.config.Node))
		})
		time.Sleep(8 * time.Second)
		w.forEachLive(func(n *networkNode) {
			test.False(t, n.Table.ClaimHeld(time.Now(), 8*time.Second), test.Sprint(n.config.Node))
		})
	})
}

// TestDomainWatermarkReachesAll checks that a representative's watermark for its domain reaches all
// nodes, also those that receive no digests from the nodes of that domain.
func TestDomainWatermarkReachesAll(t *testing.T) {
	runNetwork(t, 60, 3, 0, func(t *testing.T, w *network) {
		domain := w.domain("d0")
		for _, n := range domain[:2] {
			var others []string
			for _, o := range domain {
				if o != n {
					others = append(others, o.config.Node)
				}
			}
			n.represent(others)
		}
		time.Sleep(3 * time.Second)
		var members Members
		for _, n := range domain {
			members += MembersOf(n.config.Node)
		}
		w.forEachLive(func(n *networkNode) {
			_, ok := n.Table.UnreferencedInDomainSince("d0", members, "m", 0)
			test.True(t, ok, test.Sprint(n.config.Node))
		})
	})
}

// TestBestAggregateIsUsed checks that the aggregate that covers the most nodes is used, the
// newer one of two that cover nearly as many, and none that has expired.
func TestBestAggregateIsUsed(t *testing.T) {
	table := NewTable()
	receive := func(node string, nodes, running int, at time.Time) {
		c := &Aggregate{Nodes: nodes, Loads: Sums{keyOf("e", 0): {Running: running}}.encode(), Included: make([]byte, nodes*includedEntryBytes)}
		table.Record(Digest{Node: node, Incarnation: 1, Seq: at.UnixNano(), Aggregate: c}, at)
	}
	running := func(at time.Time) int { return table.Loads(at).At("e", 0).Running }
	receive("a", 58, 7, now)
	test.Eq(t, 7, running(now))
	receive("b", 20, 9, now.Add(time.Millisecond))
	test.Eq(t, 7, running(now.Add(time.Millisecond)))
	receive("c", 55, 8, now.Add(2*time.Millisecond))
	test.Eq(t, 8, running(now.Add(2*time.Millisecond)))
	test.Eq(t, 0, running(now.Add(2*DigestLifetime)), test.Sprint("too old"))
}

// TestAggregateIsDecodedOnUse checks that an aggregate is decoded only when its loads are
// used. Decoding each one on arrival would cause about half of a node's allocations.
func TestAggregateIsDecodedOnUse(t *testing.T) {
	sums := make(Sums)
	for i := range 204 {
		sums[keyOf(fmt.Sprint("e", i), 0)] = Sum{Running: 5, PendingPromptTokens: 3000, HeldTokens: 30_000}
	}
	const nodes = 58
	d := Digest{Node: "a", Incarnation: 1, Aggregate: &Aggregate{Nodes: nodes, Loads: sums.encode(), DomainLoads: sums.encodeCoarse(), Included: make([]byte, nodes*includedEntryBytes)}}
	table := NewTable()
	allocs := testing.AllocsPerRun(100, func() {
		d.Seq++
		must.NoError(t, d.check())
		table.Record(d, now)
	})
	test.LessEq(t, 4, allocs)
	test.Eq(t, 10, table.Loads(now).At("e7", 0).Running)
	test.Eq(t, 0, testing.AllocsPerRun(100, func() { table.Loads(now) }), test.Sprint("decoded only once"))
}

package peerload

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/weights"
)

// siteNodes and siteDomains are those of a large deployment.
const (
	siteNodes, siteDomains = 295, 5
	siteEngines            = 10
)

// TestMessagesHeard bounds the messages that nodes of large systems hear in a second: collectors
// as many as each node of 12 does, most nodes few. Before loads were collected each of 295 nodes
// heard some 400.
func TestMessagesHeard(t *testing.T) {
	for _, tc := range []struct{ nodes, domains, most, mean int }{{85, 3, 450, 80}, {siteNodes, siteDomains, 450, 45}} {
		play(t, tc.nodes, tc.domains, siteEngines, func(t *testing.T, w *network) {
			const lasts = 2
			before := 0
			w.lives(func(n *networkNode) { before += n.heard; n.heard = 0 })
			for range lasts * 10 {
				w.lives(func(n *networkNode) { n.Kick() })
				time.Sleep(100 * time.Millisecond)
			}
			sum, most := 0, 0
			w.lives(func(n *networkNode) {
				sum += n.heard / lasts
				most = max(most, n.heard/lasts)
			})
			t.Logf("%d nodes: %d messages a second in the mean, %d at most", tc.nodes, sum/tc.nodes, most)
			test.LessEq(t, tc.most, most)
			test.LessEq(t, tc.mean, sum/tc.nodes)
		})
	}
}

// engineOf returns an engine of the node's failure domain.
func (n *networkNode) engineOf() string { return fmt.Sprintf("i-%010d", n.index%len(n.net.domains())) }

// othersAt returns what all other nodes of a domain have under way at an engine.
func othersAt(w *network, n *networkNode, engine string) (running int) {
	w.lives(func(o *networkNode) {
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

// agree tests that all nodes know what the others of their domain have under way.
func agree(t *testing.T, w *network, what string) {
	t.Helper()
	w.lives(func(n *networkNode) {
		engine := n.engineOf()
		test.Eq(t, othersAt(w, n, engine), n.Table.Loads(time.Now()).Of(engine, 0).Running, test.Sprint(what, " ", n.config.Node))
	})
}

// TestLoadsAreCollected has all nodes know of one another's load within half a second, none
// counting its own twice, also after the collectors were lost together, one after the other, and
// with those that stand by.
func TestLoadsAreCollected(t *testing.T) {
	play(t, 60, 3, siteEngines, func(t *testing.T, w *network) {
		for round := range 3 {
			w.lives(func(n *networkNode) { n.begin(n.engineOf()) })
			time.Sleep(500 * time.Millisecond)
			agree(t, w, fmt.Sprint("round ", round))
		}
		lost := w.domain("d0")
		for step, kill := range [][]*networkNode{lost[:2], lost[2:3], lost[3:7]} {
			for _, n := range kill {
				n.kill()
			}
			time.Sleep(3 * time.Second)
			w.lives(func(n *networkNode) { n.begin(n.engineOf()) })
			time.Sleep(500 * time.Millisecond)
			agree(t, w, fmt.Sprint("loss ", step))
		}
	})
}

// TestOrdersReachAll has all nodes of all domains hear which engines load from a node that
// collects nothing, and know for the claim's time that somebody holds it.
func TestOrdersReachAll(t *testing.T) {
	play(t, 60, 3, siteEngines, func(t *testing.T, w *network) {
		holder := w.domain("d1")[9]
		holder.mu.Lock()
		holder.leads, holder.closed = true, []weights.Closed{{Endpoint: "x", Loads: true}, {Endpoint: "y"}}
		holder.mu.Unlock()
		time.Sleep(800 * time.Millisecond)
		w.lives(func(n *networkNode) {
			now := time.Now()
			test.True(t, n == holder || n.Table.Led(now, 8*time.Second), test.Sprint(n.config.Node))
			if n != holder {
				test.Eq(t, map[string]bool{"x": true, "y": false}, n.Table.Closed(now), test.Sprint(n.config.Node))
			}
		})
		holder.kill()
		time.Sleep(2 * time.Second)
		w.lives(func(n *networkNode) {
			test.MapEmpty(t, n.Table.Closed(time.Now()), test.Sprint(n.config.Node))
			test.True(t, n.Table.Led(time.Now(), 8*time.Second), test.Sprint("others wait ", n.config.Node))
		})
		time.Sleep(8 * time.Second)
		w.lives(func(n *networkNode) {
			test.False(t, n.Table.Led(time.Now(), 8*time.Second), test.Sprint(n.config.Node))
		})
	})
}

// TestPromisesReachTheDomain vouches for the nodes of a domain to those that don't hear them.
func TestPromisesReachTheDomain(t *testing.T) {
	play(t, 60, 3, 0, func(t *testing.T, w *network) {
		near := w.domain("d0")
		for _, n := range near[:2] {
			var others []string
			for _, o := range near {
				if o != n {
					others = append(others, o.config.Node)
				}
			}
			n.vouchFor(others)
		}
		time.Sleep(3 * time.Second)
		var members Members
		for _, n := range near {
			members += MembersOf(n.config.Node)
		}
		w.lives(func(n *networkNode) {
			_, ok := n.Table.UnnamedIn("d0", members, "m", 0)
			test.True(t, ok, test.Sprint(n.config.Node))
		})
	})
}

// TestCollectorOfFewIsPassedOver uses the collector that hears most nodes, the newer of two that
// hear nearly as many, and the peers themselves where they are as many.
func TestCollectorOfFewIsPassedOver(t *testing.T) {
	table := NewTable()
	tell := func(node string, nodes, running int, at time.Time) {
		c := &Collected{Nodes: nodes, Loads: Sums{keyOf("e", 0): {Running: running}}.encode(), Told: make([]byte, nodes*toldBytes)}
		table.Take(Digest{Node: node, Incarnation: 1, Seq: at.UnixNano(), Collected: c}, at)
	}
	running := func(at time.Time) int { return table.Loads(at).Of("e", 0).Running }
	tell("a", 58, 7, now)
	test.Eq(t, 7, running(now))
	tell("b", 20, 9, now.Add(time.Millisecond))
	test.Eq(t, 7, running(now.Add(time.Millisecond)))
	tell("c", 55, 8, now.Add(2*time.Millisecond))
	test.Eq(t, 8, running(now.Add(2*time.Millisecond)))
	test.Eq(t, 0, running(now.Add(2*Fresh)), test.Sprint("too old"))
}

// TestCollectedIsDecodedWhenAsked allocates next to nothing for the word of a collector that no
// placement asks for. With all decoded as they came, loads were 45 of 100 bytes that a node of 295
// allocated.
func TestCollectedIsDecodedWhenAsked(t *testing.T) {
	sums := make(Sums)
	for i := range 204 {
		sums[keyOf(fmt.Sprint("e", i), 0)] = Sum{Running: 5, Reading: 3000, Holding: 30_000}
	}
	const nodes = 58
	d := Digest{Node: "a", Incarnation: 1, Collected: &Collected{Nodes: nodes, Loads: sums.encode(), Outer: sums.encodeCoarse(), Told: make([]byte, nodes*toldBytes)}}
	table := NewTable()
	allocs := testing.AllocsPerRun(100, func() {
		d.Seq++
		must.NoError(t, d.check())
		table.Take(d, now)
	})
	test.LessEq(t, 4, allocs)
	test.Eq(t, 10, table.Loads(now).Of("e7", 0).Running)
	test.Eq(t, 0, testing.AllocsPerRun(100, func() { table.Loads(now) }), test.Sprint("once for all"))
}

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
			n.config.Neighbours = func() Neighbours {
				var others []string
				for _, o := range near {
					if o != n {
						others = append(others, o.config.Node)
					}
				}
				return Neighbours{Others: others, Speaks: true}
			}
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

// TestCollectedLoadsTravelWhole decodes sums as they were, and refuses what is cut short.
func TestCollectedLoadsTravelWhole(t *testing.T) {
	want := Sums{keyOf("e", 0): {Running: 3, Reading: 20_000, Holding: 99_000, failures: 120, witnesses: 2}, keyOf("f", 7): {Running: 1}}
	data := want.encode()
	got := make(Sums)
	must.NoError(t, got.addEncoded(data))
	test.Eq(t, want, got)
	for n := 1; n < len(data); n++ {
		got := make(Sums)
		if err := got.addEncoded(data[:n]); err == nil {
			test.Less(t, len(want), len(got), test.Sprint(n, " bytes"))
		}
	}
	test.SliceEmpty(t, Sums{keyOf("e", 0): {}}.encode(), test.Sprint("nothing to say"))
}

// FuzzCollected: an error, or sums within what digests carry.
func FuzzCollected(f *testing.F) {
	f.Add(Sums{keyOf("e", 0): {Running: 3, Reading: 20_000, Holding: 99_000}}.encode())
	f.Add([]byte{1, 2, 3, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		sums := make(Sums)
		checked := checkSums(data, sumFields)
		if err := sums.addEncoded(data); err != nil {
			test.Error(t, checked)
			return
		}
		test.NoError(t, checked)
		for _, s := range sums {
			test.True(t, min(s.Running, s.Reading, s.Holding, s.failures, s.witnesses) >= 0)
			test.True(t, max(s.Running, s.Reading, s.Holding, s.failures, s.witnesses) <= mostCounted*len(data))
		}
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

// TestOtherDomainsAreKnown has all nodes know within a second what the nodes of other failure
// domains have under way at engines there and here, and so when the collectors there are lost.
func TestOtherDomainsAreKnown(t *testing.T) {
	const here, there = "i-0000000000", "i-0000000001"
	play(t, 60, 3, siteEngines, func(t *testing.T, w *network) {
		known := func(what string, want int) {
			t.Helper()
			for _, n := range w.domain("d0") {
				loads := n.Table.Loads(time.Now())
				test.Eq(t, want, loads.Of(there, 0).Running, test.Sprint(what, " ", n.config.Node))
				test.Eq(t, want, loads.Of(here, 0).Running, test.Sprint(what, " ", n.config.Node))
			}
		}
		begin := func() {
			for _, n := range w.domain("d1")[5:15] {
				n.begin(there)
				n.begin(here)
			}
		}
		begin()
		time.Sleep(time.Second)
		known("first", 10)
		for _, n := range w.domain("d1")[:2] {
			n.kill()
		}
		time.Sleep(3 * time.Second)
		begin()
		time.Sleep(time.Second)
		known("after a loss", 20)
		for _, n := range w.domain("d1") {
			for _, m := range n.fleet.All() {
				at := *m.Endpoint()
				at.Weights = nil
				n.fleet.Update(&at, time.Now())
			}
		}
		time.Sleep(time.Second)
		known("plain services", 0)
	})
}

// TestSmallDomainsKnowTheOthers has the nodes of failure domains of four know the load of the others',
// though each hears as many nodes of its own as the collectors do, and know of none when the
// collectors of all others are lost.
func TestSmallDomainsKnowTheOthers(t *testing.T) {
	const there = "i-0000000001"
	play(t, 16, 4, 8, func(t *testing.T, w *network) {
		for _, n := range w.domain("d1") {
			n.begin(there)
		}
		time.Sleep(2 * time.Second)
		for _, n := range w.domain("d0") {
			test.Eq(t, []string{"d1", "d2", "d3"}, n.Table.Domains(time.Now()), test.Sprint(n.config.Node))
			test.Eq(t, 4, n.Table.Loads(time.Now()).Of(there, 0).Running, test.Sprint(n.config.Node))
		}
		for _, domain := range []string{"d1", "d2", "d3"} {
			for _, n := range w.domain(domain) {
				n.kill()
			}
		}
		time.Sleep(4 * time.Second)
		for _, n := range w.domain("d0") {
			test.SliceEmpty(t, n.Table.Domains(time.Now()), test.Sprint(n.config.Node))
		}
	})
}

// TestCoarseSums tells tokens in units, and refuses what is cut short.
func TestCoarseSums(t *testing.T) {
	data := Sums{keyOf("e", 0): {Running: 3, Reading: 20_000, Holding: 99_000, failures: 7}, keyOf("f", 0): {failures: 9}}.encodeCoarse()
	test.Len(t, coarseLeast, data)
	got := make(Sums)
	must.NoError(t, got.addCoarse(data))
	test.Eq(t, Sums{keyOf("e", 0): {Running: 3, Reading: 20 * coarseTokens, Holding: 97 * coarseTokens}}, got)
	for n := 1; n < len(data); n++ {
		test.Error(t, make(Sums).addCoarse(data[:n]), test.Sprint(n, " bytes"))
	}
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

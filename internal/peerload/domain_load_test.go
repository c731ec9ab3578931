package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestLoadsOfOtherDomains checks that within a second the requests in progress in another failure
// domain, at engines of either domain, reach all nodes, also after the loss of that domain's
// collectors.
func TestLoadsOfOtherDomains(t *testing.T) {
	const here, there = "i-0000000000", "i-0000000001"
	runNetwork(t, 60, 3, largeSystemEngines, func(t *testing.T, w *network) {
		check := func(what string, want int) {
			t.Helper()
			for _, n := range w.domain("d0") {
				loads := n.Table.Loads(time.Now())
				test.Eq(t, want, loads.At(there, 0).Running, test.Sprint(what, " ", n.config.Node))
				test.Eq(t, want, loads.At(here, 0).Running, test.Sprint(what, " ", n.config.Node))
			}
		}
		start := func() {
			for _, n := range w.domain("d1")[5:15] {
				n.startRequest(there)
				n.startRequest(here)
			}
		}
		start()
		time.Sleep(time.Second)
		check("first", 10)
		for _, n := range w.domain("d1")[:2] {
			n.kill()
		}
		time.Sleep(3 * time.Second)
		start()
		time.Sleep(time.Second)
		check("after a loss", 20)
		for _, n := range w.domain("d1") {
			for _, m := range n.fleet.All() {
				at := *m.Endpoint()
				at.Weights = nil
				n.fleet.Update(&at, time.Now())
			}
		}
		time.Sleep(time.Second)
		check("endpoints without weights", 0)
	})
}

// TestLoadsOfOtherSmallDomains checks that the loads of other domains reach all nodes of failure
// domains of four nodes, although each receives digests from as many local nodes as the collectors
// do, and that Domains is empty once the nodes of all others are lost.
func TestLoadsOfOtherSmallDomains(t *testing.T) {
	const there = "i-0000000001"
	runNetwork(t, 16, 4, 8, func(t *testing.T, w *network) {
		for _, n := range w.domain("d1") {
			n.startRequest(there)
		}
		time.Sleep(2 * time.Second)
		for _, n := range w.domain("d0") {
			test.Eq(t, []string{"d1", "d2", "d3"}, n.Table.Domains(time.Now()), test.Sprint(n.config.Node))
			test.Eq(t, 4, n.Table.Loads(time.Now()).At(there, 0).Running, test.Sprint(n.config.Node))
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

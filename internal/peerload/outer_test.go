package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

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

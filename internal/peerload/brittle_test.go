package peerload

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

func (n *networkNode) brittleServices() []Brittle {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.brittle
}

func (n *networkNode) hearBrittle(service string, refusals int, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if service == "engines" && refusals == 3 && !at.After(time.Now()) {
		n.heard++
	}
}

// TestBrittleServicesReachAll checks that what the endpoints of a service told one node reaches the nodes of all
// failure domains within a second, and that these don't tell it on.
func TestBrittleServicesReachAll(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{6, 3}, {71, 3}, {295, 5}} {
		runNetwork(t, size.nodes, size.domains, 2, func(t *testing.T, w *network) {
			n := w.nodes[addrOf(7%size.nodes)]
			n.mu.Lock()
			n.brittle = []Brittle{{Service: "engines", Refusals: 3, AgeMs: 20}}
			n.mu.Unlock()
			n.RequestReport()
			time.Sleep(time.Second)
			told := 0
			w.forEachLive(func(other *networkNode) {
				other.mu.Lock()
				defer other.mu.Unlock()
				if other.heard > 0 || other == n {
					told++
				}
				other.heard = 0
			})
			test.Eq(t, size.nodes, told, test.Sprint(size))
			n.mu.Lock()
			n.brittle = nil
			n.mu.Unlock()
			time.Sleep(brittleLifetime + time.Second)
			w.forEachLive(func(other *networkNode) {
				other.mu.Lock()
				defer other.mu.Unlock()
				other.heard = 0
			})
			time.Sleep(time.Second)
			w.forEachLive(func(other *networkNode) {
				other.mu.Lock()
				defer other.mu.Unlock()
				test.Zero(t, other.heard, test.Sprint(size))
			})
		})
	}
}

// TestLowestRefusalsReachAll checks that the lowest number of refusals that an endpoint of a service reports reaches all
// nodes, also while other endpoints of the service report higher numbers more often.
func TestLowestRefusalsReachAll(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{6, 3}, {85, 4}, {295, 5}} {
		t.Run(fmt.Sprint(size.nodes, " nodes"), func(t *testing.T) {
			runNetwork(t, size.nodes, size.domains, 2, func(t *testing.T, w *network) {
				reporting := 0
				for i, n := range w.domain("d0") {
					n.mu.Lock()
					n.brittle = []Brittle{{Service: "engines", Refusals: 20}}
					if i == 0 {
						n.brittle = []Brittle{{Service: "engines", Refusals: 3, AgeMs: 20}}
					}
					n.mu.Unlock()
					reporting++
				}
				time.Sleep(time.Second)
				told := 0
				w.forEachLive(func(n *networkNode) {
					n.mu.Lock()
					defer n.mu.Unlock()
					if n.domain != "d0" && n.heard > 0 {
						told++
					}
				})
				test.Eq(t, size.nodes-reporting, told)
			})
		})
	}
}

// TestBrittleServicesOutOfRange checks that messages with invalid reports are rejected.
func TestBrittleServicesOutOfRange(t *testing.T) {
	for _, b := range []Brittle{{}, {Service: "s", Refusals: -1}, {Service: "s", Refusals: maxRefusals + 1}, {Service: "s", AgeMs: -1}, {Service: "s", AgeMs: 1 << 40}} {
		test.Error(t, (&Digest{Node: "n", Brittle: []Brittle{b}}).check())
		test.Error(t, (&Digest{Node: "n", Aggregate: &Aggregate{Brittle: []Brittle{b}}}).check())
	}
	test.Error(t, (&Digest{Node: "n", Brittle: make([]Brittle, maxBrittle+1)}).check())
	test.NoError(t, (&Digest{Node: "n", Brittle: []Brittle{{Service: "s", Refusals: 0}}}).check())
}

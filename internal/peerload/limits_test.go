package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

const limitedEngine = "i-0000000001"

// limitAt returns what a node knows of the limit of an engine.
func (n *networkNode) limitAt() (fleet.RateLimit, bool) {
	return n.fleet.Member(limitedEngine).Signals.RateLimit()
}

// count returns at how many nodes a limit is in force.
func (w *network) countLimited() (nodes int) {
	w.lives(func(n *networkNode) {
		if l, known := n.limitAt(); known && l.InForce {
			nodes++
		}
	})
	return nodes
}

// TestLimitsReachAll has one node hear of a limit, and later of its end, and all nodes of all failure domains
// know it within a second each.
func TestLimitsReachAll(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{6, 3}, {71, 3}, {295, 5}} {
		play(t, size.nodes, size.domains, 2, func(t *testing.T, w *network) {
			first := w.nodes[addrOf(7%size.nodes)].fleet.Member(limitedEngine).Signals
			first.SetLimit(2.8, time.Now())
			time.Sleep(time.Second)
			test.Eq(t, size.nodes, w.countLimited(), test.Sprint(size))
			first.ClearLimit(time.Now(), time.Now())
			time.Sleep(time.Second)
			test.Zero(t, w.countLimited(), test.Sprint(size))
		})
	}
}

// TestLimitsAreToldForAWhile stops to tell of a limit that isn't named anew, and doesn't tell what others told.
func TestLimitsAreToldForAWhile(t *testing.T) {
	play(t, 6, 3, 2, func(t *testing.T, w *network) {
		n := w.nodes[addrOf(0)]
		n.fleet.Member(limitedEngine).Signals.SetLimit(1, time.Now())
		time.Sleep(time.Second)
		test.Len(t, 1, LimitsOf(n.fleet.All(), time.Now()))
		test.Len(t, 0, LimitsOf(w.nodes[addrOf(1)].fleet.All(), time.Now()), test.Sprint("hearsay"))
		time.Sleep(limitsToldFor)
		test.Len(t, 0, LimitsOf(n.fleet.All(), time.Now()))
	})
}

// TestOlderLimitsAreDropped keeps what an endpoint told this node itself in the same moment or later.
func TestOlderLimitsAreDropped(t *testing.T) {
	play(t, 6, 3, 2, func(t *testing.T, w *network) {
		n := w.nodes[addrOf(0)]
		signals := n.fleet.Member(limitedEngine).Signals
		now := time.Now()
		signals.SetLimit(5, now)
		n.learnLimits([]Limit{{Endpoint: limitedEngine, PerSecond: 1}}, now)
		l, _ := signals.RateLimit()
		test.Eq(t, 5, l.PerSecond)
		n.learnLimits([]Limit{{Endpoint: limitedEngine, PerSecond: 1}, {Endpoint: "none"}}, now.Add(time.Second))
		l, _ = signals.RateLimit()
		test.Eq(t, fleet.RateLimit{PerSecond: 1, InForce: true, At: now.Add(time.Second - heardMargin)}, l)
		n.learnLimits([]Limit{{Endpoint: limitedEngine, Born: 7, PerSecond: 3, AgeMs: 0}}, now.Add(2*time.Second))
		l, _ = signals.RateLimit()
		test.Eq(t, 3, l.PerSecond, test.Sprint("a start that isn't known here may be this one"))
	})
}

// TestLimitsOutOfRange drops messages with limits that no node tells.
func TestLimitsOutOfRange(t *testing.T) {
	for _, l := range []Limit{{}, {Endpoint: "e", PerSecond: -1}, {Endpoint: "e", PerSecond: 1e7}, {Endpoint: "e", AgeMs: -1}, {Endpoint: "e", AgeMs: 1 << 40}} {
		test.Error(t, (&Digest{Node: "n", Limits: []Limit{l}}).check())
		test.Error(t, (&Digest{Node: "n", Collected: &Collected{Limits: []Limit{l}}}).check())
	}
	test.Error(t, (&Digest{Node: "n", Limits: make([]Limit, mostLimits+1)}).check())
	test.NoError(t, (&Digest{Node: "n", Limits: []Limit{{Endpoint: "e", PerSecond: 2.8, AgeMs: 5}}}).check())
}

package peerload

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

const limitedEngine = "i-0000000001"

// knownLimit returns the node's recorded limit of limitedEngine.
func (n *networkNode) knownLimit() (fleet.RateLimit, bool) {
	return n.fleet.Member(limitedEngine).Signals.RateLimit()
}

// countLimited returns the number of nodes at which the limit is in force.
func (w *network) countLimited() (nodes int) {
	w.forEachLive(func(n *networkNode) {
		if l, known := n.knownLimit(); known && l.InForce {
			nodes++
		}
	})
	return nodes
}

// TestLimitsReachAll checks that a limit that one node receives, and later its end, reaches all
// nodes of all failure domains within a second.
func TestLimitsReachAll(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{6, 3}, {71, 3}, {295, 5}} {
		runNetwork(t, size.nodes, size.domains, 2, func(t *testing.T, w *network) {
			signals := w.nodes[addrOf(7%size.nodes)].fleet.Member(limitedEngine).Signals
			signals.SetLimit(2.8, time.Now())
			time.Sleep(time.Second)
			test.Eq(t, size.nodes, w.countLimited(), test.Sprint(size))
			signals.ClearLimit(time.Now())
			time.Sleep(time.Second)
			test.Zero(t, w.countLimited(), test.Sprint(size))
		})
	}
}

// TestReportedLimitsExpire checks that a node stops reporting a limit that the endpoint doesn't
// repeat, and that it doesn't report limits received from other nodes.
func TestReportedLimitsExpire(t *testing.T) {
	runNetwork(t, 6, 3, 2, func(t *testing.T, w *network) {
		n := w.nodes[addrOf(0)]
		n.fleet.Member(limitedEngine).Signals.SetLimit(1, time.Now())
		time.Sleep(time.Second)
		test.Len(t, 1, LimitsOf(n.fleet.All(), time.Now()))
		test.Len(t, 0, LimitsOf(w.nodes[addrOf(1)].fleet.All(), time.Now()), test.Sprint("hearsay"))
		time.Sleep(limitLifetime)
		test.Len(t, 0, LimitsOf(n.fleet.All(), time.Now()))
	})
}

// TestOlderLimitsAreDropped checks that a relayed limit doesn't override one that the endpoint
// reported to this node at the same time or later.
func TestOlderLimitsAreDropped(t *testing.T) {
	runNetwork(t, 6, 3, 2, func(t *testing.T, w *network) {
		n := w.nodes[addrOf(0)]
		signals := n.fleet.Member(limitedEngine).Signals
		now := time.Now()
		signals.SetLimit(5, now)
		n.applyLimits([]Limit{{Endpoint: limitedEngine, PerSecond: 1}}, now)
		l, _ := signals.RateLimit()
		test.Eq(t, 5, l.PerSecond)
		n.applyLimits([]Limit{{Endpoint: limitedEngine, PerSecond: 1}, {Endpoint: "none"}}, now.Add(time.Second))
		l, _ = signals.RateLimit()
		test.Eq(t, fleet.RateLimit{PerSecond: 1, InForce: true, At: now.Add(time.Second - limitAgeMargin)}, l)
		n.applyLimits([]Limit{{Endpoint: limitedEngine, StartedMs: 7, PerSecond: 3, AgeMs: 0}}, now.Add(2*time.Second))
		l, _ = signals.RateLimit()
		test.Eq(t, 3, l.PerSecond, test.Sprint("a limit with a start applies to an endpoint without a known start"))
	})
}

// TestLimitsOutOfRange checks that messages with invalid limits are rejected.
func TestLimitsOutOfRange(t *testing.T) {
	for _, l := range []Limit{{}, {Endpoint: "e", PerSecond: -1}, {Endpoint: "e", PerSecond: 1e7}, {Endpoint: "e", AgeMs: -1}, {Endpoint: "e", AgeMs: 1 << 40}} {
		test.Error(t, (&Digest{Node: "n", Limits: []Limit{l}}).check())
		test.Error(t, (&Digest{Node: "n", Aggregate: &Aggregate{Limits: []Limit{l}}}).check())
	}
	test.Error(t, (&Digest{Node: "n", Limits: make([]Limit, maxLimits+1)}).check())
	test.NoError(t, (&Digest{Node: "n", Limits: []Limit{{Endpoint: "e", PerSecond: 2.8, AgeMs: 5}}}).check())
}

// TestAnswerUnderWayDoesNotEndLimit checks that an answer to a request that was sent before a limit began does not end
// the limit at other nodes, if it arrives at a node that has not heard of the limit yet.
func TestAnswerUnderWayDoesNotEndLimit(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{6, 3}, {85, 4}, {985, 12}} {
		t.Run(fmt.Sprint(size.nodes, " nodes"), func(t *testing.T) {
			runNetwork(t, size.nodes, size.domains, 2, answerUnderWay)
		})
	}
}

// answerUnderWay has a node receive an answer without a limit while another one receives the limit.
func answerUnderWay(t *testing.T, w *network) {
	late := w.nodes[addrOf(1)].fleet.Member(limitedEngine).Signals
	limited := w.nodes[addrOf(len(w.nodes)-1)].fleet.Member(limitedEngine).Signals
	late.SetLimit(2.8, time.Now())
	time.Sleep(time.Second)
	late.ClearLimit(time.Now())
	time.Sleep(time.Second)
	test.Zero(t, w.countLimited())
	sent := time.Now()
	time.Sleep(300 * time.Millisecond)
	limited.SetLimit(2.8, time.Now())
	time.Sleep(time.Millisecond)
	late.ClearLimit(sent)
	time.Sleep(time.Second)
	test.Eq(t, len(w.nodes), w.countLimited())
}

// TestOvertakenMessagesDoNotEndLimit checks that a message that arrives after a later one of the same node does not
// end the limit that the later one reports, whatever kind of message it is.
func TestOvertakenMessagesDoNotEndLimit(t *testing.T) {
	none := make(Sums)
	ended, limited := []Limit{{Endpoint: limitedEngine, Ended: true}}, []Limit{{Endpoint: limitedEngine, PerSecond: 2.8}}
	for _, tc := range []struct {
		name    string
		message func(node string, seq int64, limits []Limit) (method string, message any)
	}{
		{"digest", func(node string, seq int64, limits []Limit) (string, any) {
			return digestMethod, &Digest{Node: node, Incarnation: 1, Seq: seq, Limits: limits}
		}},
		{"aggregate", func(node string, seq int64, limits []Limit) (string, any) {
			return digestMethod, &Digest{Node: node, Incarnation: 1, Seq: seq, Aggregate: &Aggregate{Loads: none.encode(), DomainLoads: none.encodeCoarse(), Limits: limits}}
		}},
		{"domain load", func(node string, seq int64, limits []Limit) (string, any) {
			return domainLoadMethod, &DomainLoad{Node: node, Domain: "other", Incarnation: 1, Seq: seq, Nodes: 1, Loads: none.encodeCoarse(), Limits: limits}
		}},
	} {
		for _, between := range []string{"", "another node"} {
			t.Run(strings.TrimSpace(tc.name+" "+between), func(t *testing.T) {
				runNetwork(t, 6, 3, 2, func(t *testing.T, w *network) {
					n := w.nodes[addrOf(0)]
					deliver := func(node string, seq int64, limits []Limit) {
						method, message := tc.message(node, seq, limits)
						data, err := json.Marshal(message)
						must.NoError(t, err)
						_, err = n.handlers[method](data)
						must.NoError(t, err)
					}
					deliver("sender", 2, limited)
					if between != "" {
						deliver(between, 1, nil)
					}
					time.Sleep(50 * time.Millisecond)
					deliver("sender", 1, ended)
					l, known := n.knownLimit()
					test.True(t, known && l.InForce)
					time.Sleep(50 * time.Millisecond)
					deliver("sender", 3, ended)
					l, _ = n.knownLimit()
					test.False(t, l.InForce)
				})
			})
		}
	}
}

package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/senders"
	"github.com/cherryward/cherryward/internal/senders/senderstest"
	"github.com/cherryward/cherryward/internal/throttle"
)

// These tests simulate a network of nodes under load.

const (
	limited    = 3 // endpoints that report a limit
	unlimited  = 6
	duration   = 12 * time.Second
	tick       = 5 * time.Millisecond
	answerTime = 60 * time.Millisecond
	// Requests of a node count once informedFor has passed since it received the limit in an answer.
	informedFor = 500 * time.Millisecond
	// maxDelay is the maximum network delay of a request.
	maxDelay    = 300 * time.Millisecond
	boundWindow = 4 * time.Second
	// nodeRate is the usual number of prompts per second at a node.
	nodeRate = 12.0
)

// allowed returns the bound on the requests in boundWindow from nodes that have received the limit.
func allowed(perSecond float64) int { return int(1.5*perSecond*boundWindow.Seconds() + 5) }

// network simulates nodes that all have clients, and endpoints that report limits from the start.
type network struct {
	random   *rand.Rand
	nodes    []*node
	limit    func(endpoint int, at time.Duration) (perSecond float64, reported bool)
	arrivals [limited][]time.Duration   // arrival times of requests from informed nodes
	pending  map[time.Duration][]answer // by the tick at which they are received
	start    time.Time
}

// answer is an answer in transit to a node.
type answer struct {
	node     *node
	restarts int // restarts of the node when it sent the request
	endpoint int
}

type node struct {
	*senderstest.Member
	limiter    *throttle.Limiter
	restarts   int
	limits     [limited]knownLimit
	informedAt [limited]time.Duration // when it first received the limit in an answer; 0 for never
}

// knownLimit is the limit of an endpoint that a node last received.
type knownLimit struct {
	perSecond float64
	reported  bool
	at        time.Duration
}

// newNetwork returns a network of size nodes, of which the given share joins during the simulation.
// Each node reads the entries of the new members at a different time.
func newNetwork(seed uint64, size int, joining float64) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, 1)), pending: make(map[time.Duration][]answer), start: time.Unix(1_700_000_000, 0)}
	n.limit = func(int, time.Duration) (float64, bool) { return 2.8, true }
	for _, m := range senderstest.Members(n.random, size, joining) {
		member := &node{Member: m}
		member.limiter = &throttle.Limiter{Node: m.Name, View: func(string, int) senders.View { return m.View }}
		n.nodes = append(n.nodes, member)
	}
	return n
}

// simulate sends prompts from clients to all nodes at the given multiple of the usual rate.
func (n *network) simulate(loadFactor float64, allow func(m *node, e *throttle.Endpoint, now time.Time) bool) {
	for at := time.Duration(0); at < duration; at += tick {
		n.deliver(at)
		for _, m := range n.nodes {
			if n.random.Float64() < nodeRate*loadFactor*tick.Seconds() {
				n.sendPrompt(m, at, allow)
			}
		}
	}
}

// sendPrompt sends a prompt to an endpoint, selected at random, that may get it.
func (n *network) sendPrompt(m *node, at time.Duration, allow func(*node, *throttle.Endpoint, time.Time) bool) {
	first := n.random.IntN(limited + unlimited)
	for i := range limited + unlimited {
		e := (first + i) % (limited + unlimited)
		if e >= limited {
			return // sent to an endpoint without a limit
		}
		known := &m.limits[e]
		if !known.reported || allow(m, &throttle.Endpoint{ID: fmt.Sprint("e", e), PerSecond: known.perSecond, ReportAge: at - known.at}, n.start.Add(at)) {
			n.send(m, e, at)
			return
		}
	}
}

func (n *network) send(m *node, e int, at time.Duration) {
	arrives := at + time.Duration(n.random.Int64N(int64(maxDelay)))
	if m.informedAt[e] > 0 && arrives-m.informedAt[e] > informedFor {
		n.arrivals[e] = append(n.arrivals[e], arrives)
	}
	receivedAt := (arrives + answerTime).Truncate(tick)
	n.pending[receivedAt] = append(n.pending[receivedAt], answer{m, m.restarts, e})
}

// deliver hands the pending answers for this tick to their nodes.
func (n *network) deliver(at time.Duration) {
	for _, a := range n.pending[at] {
		if a.restarts != a.node.restarts {
			continue
		}
		perSecond, reported := n.limit(a.endpoint, at)
		a.node.limits[a.endpoint] = knownLimit{perSecond, reported, at}
		if reported && a.node.informedAt[a.endpoint] == 0 {
			a.node.informedAt[a.endpoint] = at
		}
	}
	delete(n.pending, at)
}

// restart restarts a node, which loses all received limits. Answers to its earlier requests are
// dropped.
func (n *network) restart(m *node) {
	m.limiter = &throttle.Limiter{Node: m.Name, View: func(string, int) senders.View { return m.View }}
	m.restarts++
	m.limits, m.informedAt = [limited]knownLimit{}, [limited]time.Duration{}
}

// peak returns the maximum number of requests that any endpoint got in any boundWindow.
func (n *network) peak() (peak int) {
	for e := range n.arrivals {
		slices.Sort(n.arrivals[e])
		for i, from := range n.arrivals[e] {
			end, _ := slices.BinarySearch(n.arrivals[e], from+boundWindow+1)
			peak = max(peak, end-i)
		}
	}
	return peak
}

func throttled(m *node, e *throttle.Endpoint, now time.Time) bool { return m.limiter.Take(e, now) }

func unthrottled(*node, *throttle.Endpoint, time.Time) bool { return true }

var (
	sizes = []int{6, 71, 295, 1000}
	// loadFactor is the multiple of the usual load, by network size. It is lower for the largest size
	// to limit the run time.
	loadFactor = map[int]float64{6: 3, 71: 3, 295: 2, 1000: 1}
)

// TestLimitHoldsAtAnySize checks that the requests to an endpoint stay within the bound under high load
// while a third of the nodes join and half of the others have not read their entries yet.
func TestLimitHoldsAtAnySize(t *testing.T) {
	for _, size := range sizes {
		for seed, joining := range []float64{0, 0.33} {
			n := newNetwork(uint64(seed), size, joining)
			n.simulate(loadFactor[size], throttled)
			test.LessEq(t, allowed(2.8), n.peak(), test.Sprint(size, seed, joining))
		}
	}
}

// TestLimitHoldsWhileNodesRestart checks the bound while nodes restart one after the other and lose the
// received limits.
func TestLimitHoldsWhileNodesRestart(t *testing.T) {
	for _, size := range sizes[:3] {
		n := newNetwork(7, size, 0.33)
		restarts := 0
		n.simulate(1, func(m *node, e *throttle.Endpoint, now time.Time) bool {
			if n.random.IntN(200) == 0 {
				restarts++
				n.restart(n.nodes[n.random.IntN(len(n.nodes))])
			}
			return m.limiter.Take(e, now)
		})
		test.LessEq(t, allowed(2.8), n.peak(), test.Sprint(size))
		test.Positive(t, restarts)
	}
}

// TestLimitHoldsWhileItChanges checks the bound while endpoints change their limits every second. The
// bound is that of the highest limit.
func TestLimitHoldsWhileItChanges(t *testing.T) {
	limits := []float64{4, 0.3, 2, 1}
	for _, size := range sizes {
		n := newNetwork(3, size, 0.2)
		n.limit = func(e int, at time.Duration) (float64, bool) { return limits[(e+int(at.Seconds()))%len(limits)], true }
		n.simulate(1, throttled)
		test.LessEq(t, allowed(4), n.peak(), test.Sprint(size))
	}
}

// TestSmallLimits checks the bound for limits of at most one request per second, down to zero.
func TestSmallLimits(t *testing.T) {
	for _, perSecond := range []float64{0, 0.05, 0.3, 1} {
		n := newNetwork(5, 71, 0.33)
		n.limit = func(int, time.Duration) (float64, bool) { return perSecond, true }
		n.simulate(2, throttled)
		test.LessEq(t, allowed(perSecond), n.peak(), test.Sprint(perSecond))
	}
}

// TestLimitIsUsed checks that endpoints get at least half of the requests that their limit allows, at
// any size.
func TestLimitIsUsed(t *testing.T) {
	for _, size := range sizes {
		n := newNetwork(1, size, 0)
		n.simulate(1, throttled)
		for e := range n.arrivals {
			// Skip the start, when nodes have not received the limits yet.
			settled, _ := slices.BinarySearch(n.arrivals[e], 2*time.Second)
			perSecond := float64(len(n.arrivals[e])-settled) / (duration - 2*time.Second).Seconds()
			t.Logf("%d nodes: %.2f requests per second of 2.8", size, perSecond)
			test.GreaterEq(t, 1.4, perSecond, test.Sprint(size))
		}
	}
}

// TestEndOfLimitReachesAllNodes checks that some time after an endpoint stops reporting a limit all
// nodes use it again, even those that send nothing to it and therefore get no answers.
func TestEndOfLimitReachesAllNodes(t *testing.T) {
	const size = 6
	n := newNetwork(2, size, 0)
	n.limit = func(_ int, at time.Duration) (float64, bool) { return 2.8, at < 5*time.Second }
	n.simulate(1, throttled)
	for _, m := range n.nodes {
		for e := range m.limits {
			test.False(t, m.limits[e].reported)
		}
	}
}

// TestUnthrottledLoadExceedsBound checks that the simulated load exceeds the bound without throttling.
func TestUnthrottledLoadExceedsBound(t *testing.T) {
	n := newNetwork(1, 6, 0)
	n.simulate(1, unthrottled)
	test.Greater(t, allowed(2.8), n.peak())
}

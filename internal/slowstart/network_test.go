package slowstart_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/senders/senderstest"
	"github.com/cherryward/cherryward/internal/slowstart"
)

// These tests simulate nodes that send to the endpoints of a failure domain that has restarted. Without
// a limit across nodes, an endpoint would get more requests than its bound: nodes see each other's sends
// only 0.4 s later, so no node can keep to a common limit by counting them.

const (
	maxPerSecond  = 32 // maximum requests per second at a cold endpoint
	coldEndpoints = 12 // number of cold endpoints
	duration      = 2 * time.Second
	tick          = 5 * time.Millisecond
	// nodeRate is the usual number of prompts per second at a node.
	nodeRate = 12.0
)

// network simulates nodes that all have clients, and endpoints that are cold from the start.
type network struct {
	random    *rand.Rand
	nodes     []*node
	endpoints []*slowstart.Endpoint
	sent      map[string][]time.Duration // send times by endpoint
	refused   int                        // prompts that their node could send to no cold endpoint
	placed    int
}

type node struct{ limiter *slowstart.Limiter }

// newNetwork returns a network of the given number of nodes, of which the given share joins during the
// simulation. Each node reads the entries of the new members at a different time.
func newNetwork(seed uint64, nodes int, joining float64) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, 1)), sent: make(map[string][]time.Duration)}
	for i := range coldEndpoints {
		n.endpoints = append(n.endpoints, &slowstart.Endpoint{ID: fmt.Sprint("e", i), Domain: "d", MaxPerSecond: maxPerSecond})
	}
	for _, m := range senderstest.Members(n.random, nodes, joining) {
		member := &node{limiter: &slowstart.Limiter{Node: m.Name, View: func(string, int) slowstart.View { return m.View }}}
		n.nodes = append(n.nodes, member)
	}
	return n
}

// simulate sends prompts from clients to all nodes at the given multiple of the usual rate. Each goes
// to a cold endpoint that its node may send to, if there is one.
func (n *network) simulate(loadFactor float64, allow func(m *node, e *slowstart.Endpoint, now time.Time) bool) {
	start := time.Now()
	for at := time.Duration(0); at < duration; at += tick {
		for _, m := range n.nodes {
			if n.random.Float64() >= nodeRate*loadFactor*tick.Seconds() {
				continue
			}
			n.sendPrompt(m, at, start.Add(at), allow)
		}
	}
}

func (n *network) sendPrompt(m *node, at time.Duration, now time.Time, allow func(*node, *slowstart.Endpoint, time.Time) bool) {
	first := n.random.IntN(coldEndpoints)
	for i := range coldEndpoints {
		e := n.endpoints[(first+i)%coldEndpoints]
		if allow(m, e, now) {
			n.sent[e.ID] = append(n.sent[e.ID], at)
			n.placed++
			return
		}
	}
	n.refused++
}

// peak returns the maximum number of requests that any endpoint got in any second.
func (n *network) peak() int {
	peak := 0
	for _, times := range n.sent {
		for i := range times {
			count := 0
			for _, at := range times[i:] {
				if at-times[i] <= time.Second {
					count++
				}
			}
			peak = max(peak, count)
		}
	}
	return peak
}

func bounded(m *node, e *slowstart.Endpoint, now time.Time) bool { return m.limiter.Take(e, now) }

func unbounded(*node, *slowstart.Endpoint, time.Time) bool { return true }

// TestBoundHolds checks that the requests to a cold endpoint stay within the bound, at all sizes and
// under three times the usual load, while a third of the nodes join and half of the others have not
// read their entries yet.
func TestBoundHolds(t *testing.T) {
	for _, size := range []int{7, 71, 295, 1000} {
		for seed, joining := range []float64{0, 0.33} {
			n := newNetwork(uint64(seed), size, joining)
			n.simulate(3, bounded)
			test.LessEq(t, maxPerSecond, n.peak(), test.Sprint(size, seed, joining))
			test.Greater(t, 0, n.placed)
		}
	}
}

// TestBoundIsUsed checks that cold endpoints in a large system, where each of many nodes has few
// prompts, get at least a quarter of the requests that they may get. A share for every node of the
// system would be less than one request.
func TestBoundIsUsed(t *testing.T) {
	for _, size := range []int{71, 295, 1000} {
		n := newNetwork(1, size, 0)
		n.simulate(1, bounded)
		perSecond := float64(n.placed) / duration.Seconds() / coldEndpoints
		t.Logf("%d nodes: %.1f requests per second at each of %d cold endpoints, peak %d", size, perSecond, coldEndpoints, n.peak())
		test.Greater(t, float64(maxPerSecond)/4, perSecond, test.Sprint(size))
	}
}

// TestUnboundedLoadExceedsBound checks that the simulated load exceeds the bound without a limiter.
func TestUnboundedLoadExceedsBound(t *testing.T) {
	n := newNetwork(1, 71, 0)
	n.simulate(1, unbounded)
	test.Greater(t, maxPerSecond, n.peak())
}

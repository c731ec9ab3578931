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

// Endpoints of a whole failure domain came back cold, and single ones got 34 to 40 requests in a second
// of the 32 that they were to get at most: each node knew from the registry that they were cold, but
// none did anything about it, and what the others sent at the same time was told 0.4 s later.

const (
	most      = 32 // requests that a cold endpoint may get in a second
	coldNodes = 12 // cold endpoints at a time
	played    = 2 * time.Second
	lookEvery = 5 * time.Millisecond
	// nodeRate is the number of prompts that a node places in a second on a usual day.
	nodeRate = 12.0
)

// network is a system whose nodes all have callers, and endpoints that are back cold at the beginning.
type network struct {
	random *rand.Rand
	nodes  []*node
	// endpoints are those that are cold.
	endpoints []*slowstart.Endpoint
	sent      map[string][]time.Duration // by endpoint
	refused   int                        // prompts that found no place at a cold endpoint
	placed    int
}

type node struct{ limiter *slowstart.Limiter }

// newNetwork has so many nodes, of which a share joins during the play; each reads of it at its own
// time.
func newNetwork(seed uint64, nodes int, joining float64) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, 1)), sent: make(map[string][]time.Duration)}
	for i := range coldNodes {
		n.endpoints = append(n.endpoints, &slowstart.Endpoint{ID: fmt.Sprint("e", i), Domain: "d", Most: most})
	}
	for _, m := range senderstest.Members(n.random, nodes, joining) {
		member := &node{limiter: &slowstart.Limiter{Node: m.Name, View: func(string, int) slowstart.View { return m.View }}}
		n.nodes = append(n.nodes, member)
	}
	return n
}

// play has callers' prompts come to all nodes at a multiple of the usual rate. Each goes to a cold
// endpoint that its node may send to, if any.
func (n *network) play(pressure float64, allows func(m *node, e *slowstart.Endpoint, now time.Time) bool) {
	start := time.Now()
	for at := time.Duration(0); at < played; at += lookEvery {
		for _, m := range n.nodes {
			if n.random.Float64() >= nodeRate*pressure*lookEvery.Seconds() {
				continue
			}
			n.place(m, at, start.Add(at), allows)
		}
	}
}

func (n *network) place(m *node, at time.Duration, now time.Time, allows func(*node, *slowstart.Endpoint, time.Time) bool) {
	first := n.random.IntN(coldNodes)
	for i := range coldNodes {
		e := n.endpoints[(first+i)%coldNodes]
		if allows(m, e, now) {
			n.sent[e.ID] = append(n.sent[e.ID], at)
			n.placed++
			return
		}
	}
	n.refused++
}

// busiest returns the most requests that an endpoint got in any second.
func (n *network) busiest() int {
	busiest := 0
	for _, times := range n.sent {
		for i := range times {
			in := 0
			for _, at := range times[i:] {
				if at-times[i] <= time.Second {
					in++
				}
			}
			busiest = max(busiest, in)
		}
	}
	return busiest
}

func bounded(m *node, e *slowstart.Endpoint, now time.Time) bool { return m.limiter.Take(e, now) }

func unbounded(*node, *slowstart.Endpoint, time.Time) bool { return true }

// TestBoundHolds keeps what a cold endpoint gets within the bound, at all sizes, under three times the
// usual load, while a third of the nodes join and every second node hasn't read of that yet.
func TestBoundHolds(t *testing.T) {
	for _, size := range []int{7, 71, 295, 1000} {
		for seed, joining := range []float64{0, 0.33} {
			n := newNetwork(uint64(seed), size, joining)
			n.play(3, bounded)
			test.LessEq(t, most, n.busiest(), test.Sprint(size, seed, joining))
			test.Greater(t, 0, n.placed)
		}
	}
}

// TestBoundIsUsed has cold endpoints serve at least a quarter of what they may in a large system, where
// each of many nodes has few prompts. A share for each node of the system would be less than one.
func TestBoundIsUsed(t *testing.T) {
	for _, size := range []int{71, 295, 1000} {
		n := newNetwork(1, size, 0)
		n.play(1, bounded)
		perSecond := float64(n.placed) / played.Seconds() / coldNodes
		t.Logf("%d nodes: %.1f requests a second at each of %d cold endpoints, %d at most", size, perSecond, coldNodes, n.busiest())
		test.Greater(t, float64(most)/4, perSecond, test.Sprint(size))
	}
}

// TestUnboundedBreaksIt shows that the load alone breaks the bound.
func TestUnboundedBreaksIt(t *testing.T) {
	n := newNetwork(1, 71, 0)
	n.play(1, unbounded)
	test.Greater(t, most, n.busiest())
}

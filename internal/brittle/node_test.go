package brittle_test

import (
	"fmt"
	"time"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/senders"
	"github.com/cherryward/cherryward/internal/senders/senderstest"
)

const (
	serviceName = "engines"
	// toldAfter is the time after which the other nodes know what an endpoint told one of them.
	toldAfter = 400 * time.Millisecond
)

// node is a node of a simulated network.
type node struct {
	*senderstest.Member
	network *network
	index   int
	own     map[string]int // requests in flight by start of an endpoint
	avoid   map[int]time.Time
	reports brittle.Reports
	blocked brittle.Blocked
	lender  brittle.Lender
	lenders *brittle.Lenders
	leases  int
}

func newNode(n *network, index int, m *senderstest.Member) *node {
	if n.lenders[m.View.Generation] == nil {
		n.lenders[m.View.Generation] = &brittle.Lenders{View: func(string, int) senders.View { return m.View }}
	}
	return &node{Member: m, network: n, index: index, own: make(map[string]int), avoid: make(map[int]time.Time), lenders: n.lenders[m.View.Generation]}
}

// others returns the requests of other nodes at an endpoint that this node knows of.
func (n *node) others(e *endpoint) int { return e.knownAll - e.known[n.index] }

// load returns the requests at an endpoint that this node knows of.
func (n *node) load(e *endpoint) int { return n.own[e.id()] + n.others(e) }

// mayUse reports whether a request may be sent to an endpoint as far as this node knows.
func (n *node) mayUse(e *endpoint) bool {
	now := n.network.now
	if now.Before(n.avoid[e.index]) {
		return false
	}
	if _, isBrittle := n.reports.Refusals(serviceName, now); !isBrittle {
		return true
	}
	return n.blocked.For(e.id(), 0, now) == 0 && n.load(e) < n.network.slots
}

// acquire asks for the right to send a request. done receives what is to be called when it has ended, or
// nil.
func (n *node) acquire(e *endpoint, done func(release func(refused bool))) {
	refusals, isBrittle := n.reports.Refusals(serviceName, n.network.now)
	if !isBrittle {
		done(func(bool) {})
		return
	}
	id := e.id()
	n.leases++
	claim := brittle.Claim{Lease: fmt.Sprint(n.Name, "/", n.leases), Endpoint: id, Slots: n.network.slots, Refusals: refusals}
	lender := n.network.byName[n.lenders.Of(id, "")]
	n.callLender(lender, func() (reply func()) {
		granted, retryAfter := lender.lender.Lend(&claim, brittle.Load{Running: lender.load(e)}, n.network.now)
		return func() {
			if !granted {
				n.blocked.Until(id, 0, n.network.now.Add(retryAfter))
				done(nil)
				return
			}
			done(func(refused bool) { n.giveBack(lender, id, claim.Lease, refused) })
		}
	})
}

// callLender calls a node, and has its reply handled when it has arrived.
func (n *node) callLender(lender *node, serve func() (reply func())) {
	delay := oneWay
	if lender == n {
		delay = 0
	}
	n.network.after(delay, func() { n.network.after(delay, serve()) })
}

func (n *node) giveBack(lender *node, endpoint, lease string, refused bool) {
	if refused {
		n.blocked.Until(endpoint, 0, n.network.now.Add(time.Second))
	}
	n.callLender(lender, func() func() {
		lender.lender.Return(endpoint, 0, lease, refused, n.network.now)
		return func() {}
	})
}

// begin counts a request, of which the others know later.
func (n *node) begin(e *endpoint) { n.change(e, e.starts, 1) }

// end counts the end of a request to a start of an endpoint.
func (n *node) end(e *endpoint, starts int) { n.change(e, starts, -1) }

func (n *node) change(e *endpoint, starts, by int) {
	if e.starts != starts {
		return
	}
	n.own[e.id()] += by
	n.network.after(n.network.lag, func() {
		if e.starts == starts {
			e.known[n.index] += by
			e.knownAll += by
		}
	})
}

// hear records an answer, of which this node tells all others.
func (n *node) hear(*endpoint, int, bool) {
	if n.network.elapsed() < wordAt {
		return
	}
	n.reports.Record(serviceName, n.network.refusals, n.network.now, true)
	if n.network.told {
		return
	}
	n.network.told = true
	n.network.after(toldAfter, func() {
		for _, other := range n.network.nodes {
			other.reports.Record(serviceName, n.network.refusals, n.network.now, false)
		}
	})
}

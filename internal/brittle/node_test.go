package brittle_test

import (
	"time"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/senders"
	"github.com/cherryward/cherryward/internal/senders/senderstest"
)

// node is a node of a simulated network.
type node struct {
	network *network
	index   int
	own     map[string]int // requests in flight by start of an endpoint
	avoid   map[int]time.Time
	signals map[string]*fleet.Signals // by start of an endpoint
	limiter *brittle.Limiter
}

func newNode(n *network, index int, m *senderstest.Member) *node {
	return &node{
		network: n, index: index, own: make(map[string]int), avoid: make(map[int]time.Time), signals: make(map[string]*fleet.Signals),
		limiter: &brittle.Limiter{Node: m.Name, View: func(string, int) senders.View { return m.View }},
	}
}

func (n *node) signalsOf(id string) *fleet.Signals {
	if n.signals[id] == nil {
		n.signals[id] = &fleet.Signals{}
	}
	return n.signals[id]
}

// others returns the requests of other nodes at an endpoint that this node knows of.
func (n *node) others(e *endpoint) int { return e.knownAll - e.known[n.index] }

// load returns the requests at an endpoint that this node knows of.
func (n *node) load(e *endpoint) int { return n.own[e.id()] + n.others(e) }

// mayUse reports whether a request may be sent to an endpoint as far as this node knows.
func (n *node) mayUse(e *endpoint) bool {
	if n.network.now.Before(n.avoid[e.index]) {
		return false
	}
	signals := n.signalsOf(e.id())
	state, known := signals.Brittle()
	if !known {
		return true
	}
	return n.limiter.Wait(&brittle.Endpoint{
		ID: e.id(), Slots: n.network.slots, Refusals: state.MaxRefusals, Own: n.own[e.id()], Others: n.others(e), RefusedAt: signals.RefusedAt(),
	}, n.network.now) == 0
}

// acquire asks for the right to send a request. done receives what is to be called when it has ended, or
// nil.
func (n *node) acquire(_ *endpoint, done func(release func(refused bool))) { done(func(bool) {}) }

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

// hear records an answer of a start of an endpoint.
func (n *node) hear(e *endpoint, starts int, refused bool) {
	if e.starts != starts {
		return
	}
	signals := n.signalsOf(e.id())
	if n.network.elapsed() >= wordAt {
		signals.SetBrittle(n.network.refusals, n.network.now)
	}
	if refused {
		signals.RecordRefusal(n.network.now)
	}
}

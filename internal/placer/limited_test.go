package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/senders"
	"github.com/cherryward/cherryward/internal/throttle"
)

// throttled shares out the requests to rate-limited endpoints among the given nodes; this node is
// "n".
func (fx *fixture) throttled(nodes ...string) {
	fx.Throttle = &throttle.Limiter{Node: "n", View: func(string, int) senders.View { return senders.View{Generation: 1, Nodes: nodes} }}
}

// plainQuery returns a query for a service without model engines.
func plainQuery() *forward.Query {
	return &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{Deadline: 6 * time.Second}}
}

// TestLimitedEndpointGetsNodesShare checks that a rate-limited endpoint gets no more than this
// node's share of requests, of all kinds together, though it has the lowest load, and that other
// endpoints get the rest.
func TestLimitedEndpointGetsNodesShare(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.throttled("n")
	fx.members[1].Signals.SetLimit(3, time.Now())
	for _, m := range []int{0, 2} {
		fx.members[m].Load.Begin(100_000, 0)
	}
	placed := fx.count(40, query())
	test.Eq(t, 1, placed["e1"], test.Sprint("the next request is allowed half a mean interval later"))
	test.Eq(t, 39, placed["e0"]+placed["e2"])
	test.Zero(t, fx.count(40, plainQuery())["e1"])
}

// TestLimitOfOtherNodes checks that a node sends nothing to rate-limited endpoints assigned to
// other nodes. Where no other endpoint is left, it refuses requests at once, with retry times
// spread over successive callers.
func TestLimitOfOtherNodes(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.throttled("a", "b", "c", "d", "e", "f", "g", "h")
	for _, m := range fx.members {
		m.Signals.SetLimit(3, time.Now())
	}
	p, ok := fx.Place(plainQuery())
	must.False(t, ok)
	test.Eq(t, "limited", p.Reason)
	test.Zero(t, p.RetryDelay(time.Second), test.Sprint("the request is refused without waiting"))
	first := p.OnRefusal()
	p, ok = fx.Place(plainQuery())
	must.False(t, ok)
	second := p.OnRefusal()
	test.Between(t, first+100*time.Millisecond, second, first+time.Second)
	for range 40 {
		test.LessEq(t, 2*time.Second, p.OnRefusal(), test.Sprint("the retry is within the time that callers wait"))
	}
	fx.members[0].Signals.ClearLimit(time.Now())
	p, ok = fx.Place(plainQuery())
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)
}

// TestWaitsForRateLimit checks that a request waits where this node may send one soon.
func TestWaitsForRateLimit(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1)
	now := time.Now()
	fx.Now = func() time.Time { return now }
	fx.throttled("n")
	fx.members[0].Signals.SetLimit(500, now)
	_, ok := fx.Place(plainQuery())
	must.True(t, ok)
	p, ok := fx.Place(plainQuery())
	must.False(t, ok)
	test.Positive(t, p.RetryDelay(time.Second))
}

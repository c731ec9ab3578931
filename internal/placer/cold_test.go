package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/slowstart"
)

// limitColdStart limits the requests per second that each cold endpoint gets from all the given
// nodes together; this node is "n".
func (fx *fixture) limitColdStart(perSecond int, nodes ...string) {
	fx.SlowStart = &slowstart.Limiter{Node: "n", View: func(string, int) slowstart.View { return slowstart.View{Generation: 1, Nodes: nodes} }}
	fx.MaxColdPerSecond = func(*routing.Service) int { return perSecond }
}

// count places the given number of requests and returns how many went to each endpoint.
func (fx *fixture) count(requests int, q *forward.Query) map[string]int {
	placed := make(map[string]int)
	for range requests {
		if p, ok := fx.Place(q); ok {
			placed[p.Member.ID]++
		}
	}
	return placed
}

// TestColdEndpointGetsItsShare checks that a cold endpoint gets no more than this node's share of
// requests per second, and warm endpoints get the rest, though the cold one has the lowest load.
func TestColdEndpointGetsItsShare(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.limitColdStart(16, "n")
	fx.members[1].MarkCold(time.Now().Add(time.Hour))
	plain := &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{}}
	for _, m := range []int{0, 2} {
		fx.members[m].Load.Begin(100_000, 0)
	}
	placed := fx.count(40, query())
	test.Eq(t, 2, placed["e1"])
	test.Eq(t, 38, placed["e0"]+placed["e2"])
	test.Zero(t, fx.count(40, plain)["e1"], test.Sprint("all kinds of requests together use up one share"))
}

// TestColdEndpointOfOtherNodes checks that a node sends nothing to a cold endpoint that is assigned
// to other nodes. Where no other endpoint is left, it refuses requests at once, with the time until
// the first endpoint is warm.
func TestColdEndpointOfOtherNodes(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.limitColdStart(16, "a", "b", "c", "d")
	fx.members[0].MarkCold(time.Now().Add(time.Hour))
	test.Zero(t, fx.count(40, query())["e0"])
	fx.members[1].MarkCold(time.Now().Add(2 * time.Second))
	fx.members[2].MarkEnded(time.Now())
	fx.members[2].MarkCold(time.Now().Add(time.Hour))
	p, ok := fx.Place(query())
	must.False(t, ok)
	test.Eq(t, "cold", p.Reason)
	test.Zero(t, p.RetryDelay(time.Second), test.Sprint("the request is refused without waiting"))
	test.Between(t, time.Second, p.OnRefusal(), 2*time.Second)
}

// TestColdWithoutLimit checks that cold endpoints get as many requests as others where the service
// sets no limit for them.
func TestColdWithoutLimit(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.limitColdStart(0)
	for _, m := range fx.members {
		m.MarkCold(time.Now().Add(time.Hour))
	}
	placed := fx.count(40, query())
	test.Eq(t, 40, placed["e0"]+placed["e1"]+placed["e2"])
}

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
func (w *world) throttled(nodes ...string) {
	w.Throttle = &throttle.Limiter{Node: "n", View: func(string, int) senders.View { return senders.View{Generation: 1, Nodes: nodes} }}
}

// plainQuery returns a query for a service without model engines.
func plainQuery() *forward.Query {
	return &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{Deadline: 6 * time.Second}}
}

// TestLimitedGetsItsShare checks that a rate-limited endpoint gets no more than this node's share
// of requests, of all kinds together, though it looks the least busy, and that other endpoints get
// the rest.
func TestLimitedGetsItsShare(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.throttled("n")
	w.members[1].Signals.SetLimit(3, time.Now())
	for _, m := range []int{0, 2} {
		w.members[m].Load.Begin(100_000, 0)
	}
	placed := w.count(40, query())
	test.Eq(t, 1, placed["e1"], test.Sprint("the next request is allowed half a mean interval later"))
	test.Eq(t, 39, placed["e0"]+placed["e2"])
	test.Zero(t, w.count(40, plainQuery())["e1"])
}

// TestLimitedIsLeftToOthers checks that a node sends nothing to rate-limited endpoints assigned to
// other nodes. Where no other endpoint is left, it refuses requests at once, with retry times
// spread over successive callers.
func TestLimitedIsLeftToOthers(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.throttled("a", "b", "c", "d", "e", "f", "g", "h")
	for _, m := range w.members {
		m.Signals.SetLimit(3, time.Now())
	}
	p, ok := w.Place(plainQuery())
	must.False(t, ok)
	test.Eq(t, "limited", p.Reason)
	test.Zero(t, p.RetryDelay(time.Second), test.Sprint("the request is refused without waiting"))
	first := p.OnRefusal()
	p, ok = w.Place(plainQuery())
	must.False(t, ok)
	second := p.OnRefusal()
	test.Between(t, first+100*time.Millisecond, second, first+time.Second)
	for range 40 {
		test.LessEq(t, 2*time.Second, p.OnRefusal(), test.Sprint("the retry is within the time that callers wait"))
	}
	w.members[0].Signals.ClearLimit(time.Now(), time.Now())
	p, ok = w.Place(plainQuery())
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)
}

// TestLimitedWaitsForItsTurn checks that a request waits where this node may send one soon.
func TestLimitedWaitsForItsTurn(t *testing.T) {
	w := newWorld(t, source{}, 1)
	w.throttled("n")
	w.members[0].Signals.SetLimit(500, time.Now())
	_, ok := w.Place(plainQuery())
	must.True(t, ok)
	p, ok := w.Place(plainQuery())
	must.False(t, ok)
	test.Positive(t, p.RetryDelay(time.Second))
}

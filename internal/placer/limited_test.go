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

// throttled has endpoints that name limits be shared out among nodes, of which this one is "n".
func (w *world) throttled(nodes ...string) {
	w.Throttle = &throttle.Limiter{Node: "n", View: func(string, int) senders.View { return senders.View{Generation: 1, Nodes: nodes} }}
}

func plainQuery() *forward.Query {
	return &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{Deadline: 6 * time.Second}}
}

// TestLimitedGetsItsShare sends an endpoint that names a limit no more than this node's share, of all kinds
// of requests together, though it looks the least busy, and all others elsewhere.
func TestLimitedGetsItsShare(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.throttled("n")
	w.members[1].Signals.SetLimit(3, time.Now())
	for _, m := range []int{0, 2} {
		w.members[m].Load.Begin(100_000, 0)
	}
	at := w.count(40, query())
	test.Eq(t, 1, at["e1"], test.Sprint("the next one is half of a mean distance later"))
	test.Eq(t, 39, at["e0"]+at["e2"])
	test.Zero(t, w.count(40, plainQuery())["e1"])
}

// TestLimitedIsLeftToOthers sends nothing to endpoints that other nodes send to, and refuses at once where
// no other is left, with when to come back: one caller after the other.
func TestLimitedIsLeftToOthers(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.throttled("a", "b", "c", "d", "e", "f", "g", "h")
	for _, m := range w.members {
		m.Signals.SetLimit(3, time.Now())
	}
	p, ok := w.Place(plainQuery())
	must.False(t, ok)
	test.Eq(t, "limited", p.Reason)
	test.Zero(t, p.Pause(time.Second), test.Sprint("it is not kept waiting"))
	first := p.Refuse()
	p, ok = w.Place(plainQuery())
	must.False(t, ok)
	second := p.Refuse()
	test.Between(t, first+100*time.Millisecond, second, first+time.Second)
	for range 40 {
		test.LessEq(t, 2*time.Second, p.Refuse(), test.Sprint("no later than callers wait"))
	}
	w.members[0].Signals.ClearLimit(time.Now(), time.Now())
	p, ok = w.Place(plainQuery())
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)
}

// TestLimitedWaitsForItsTurn keeps a request waiting where this node may send soon.
func TestLimitedWaitsForItsTurn(t *testing.T) {
	w := newWorld(t, source{}, 1)
	w.throttled("n")
	w.members[0].Signals.SetLimit(500, time.Now())
	_, ok := w.Place(plainQuery())
	must.True(t, ok)
	p, ok := w.Place(plainQuery())
	must.False(t, ok)
	test.Positive(t, p.Pause(time.Second))
}

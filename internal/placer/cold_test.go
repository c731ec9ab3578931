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

// bound has cold endpoints get so many requests a second from all nodes, of which this is one of some.
func (w *world) bound(most int, nodes ...string) {
	w.SlowStart = &slowstart.Limiter{Node: "n", View: func(string, int) slowstart.View { return slowstart.View{Generation: 1, Nodes: nodes} }}
	w.MostCold = func(*routing.Service) int { return most }
}

// count places so many requests and returns how many went to each endpoint.
func (w *world) count(requests int, q *forward.Query) map[string]int {
	at := make(map[string]int)
	for range requests {
		if p, ok := w.Place(q); ok {
			at[p.Member.ID]++
		}
	}
	return at
}

// TestColdGetsItsShare sends an endpoint that is cold no more than this node's share in a second, and
// all others to warm ones, though the cold one looks the least busy.
func TestColdGetsItsShare(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.bound(16, "n")
	w.members[1].Chill(time.Now().Add(time.Hour))
	plain := &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{}}
	for _, m := range []int{0, 2} {
		w.members[m].Load.Begin(100_000, 0)
	}
	at := w.count(40, query())
	test.Eq(t, 2, at["e1"])
	test.Eq(t, 38, at["e0"]+at["e2"])
	test.Zero(t, w.count(40, plain)["e1"], test.Sprint("the share is that of all kinds of requests together"))
}

// TestColdOfOthers leaves a cold endpoint to the nodes that it is shared out to, and refuses at once
// where no other is left, with when the first of them is warm.
func TestColdOfOthers(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.bound(16, "a", "b", "c", "d")
	w.members[0].Chill(time.Now().Add(time.Hour))
	test.Zero(t, w.count(40, query())["e0"])
	w.members[1].Chill(time.Now().Add(2 * time.Second))
	w.members[2].Ends(time.Now())
	w.members[2].Chill(time.Now().Add(time.Hour))
	p, ok := w.Place(query())
	must.False(t, ok)
	test.Eq(t, "cold", p.Reason)
	test.Zero(t, p.Pause(time.Second), test.Sprint("it is not kept waiting"))
	test.Between(t, time.Second, p.Refuse(), 2*time.Second)
}

// TestColdWithoutBound sends cold endpoints as many as others where they stand any number.
func TestColdWithoutBound(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.bound(0)
	for _, m := range w.members {
		m.Chill(time.Now().Add(time.Hour))
	}
	at := w.count(40, query())
	test.Eq(t, 40, at["e0"]+at["e1"]+at["e2"])
}

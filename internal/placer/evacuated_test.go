package placer_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
)

// evacuate marks the given failure domains, and only these, as evacuated.
func (w *world) evacuate(domains ...string) {
	evacuated := make(map[string]bool)
	for _, d := range domains {
		evacuated[d] = true
	}
	w.Placer.Evacuated = func(domain string) bool { return evacuated[domain] }
}

// setDomains assigns the endpoints to failure domains, in their order.
func (w *world) setDomains(domains ...string) {
	f := fleet.New(zerolog.Nop())
	for i, m := range w.members {
		e := *m.Endpoint()
		e.Domain = domains[i]
		w.Kept.Engines()[m.ID].Domain = domains[i]
		f.Update(&e, time.Now())
	}
	w.Fleet = f
}

// TestEvacuatedGetNothing checks that no request is sent to an evacuated failure domain, neither a
// first attempt nor a retry, even where all other endpoints fail.
func TestEvacuatedGetNothing(t *testing.T) {
	w := newWorld(t, source{addr(2): shared(1, "")}, 1, 1, 1)
	w.setDomains("north", "north", "east")
	w.evacuate("east")
	plain := &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{}}
	for _, q := range []*forward.Query{query(), plain} {
		for _, tried := range [][]string{nil, {"e0"}, {"e0", "e1"}} {
			q.Tried = tried
			p, ok := w.Place(q)
			must.Eq(t, len(tried) < 2, ok)
			if ok {
				test.NotEq(t, "e2", p.Member.ID)
				test.SliceNotContains(t, p.Attempt.Sources, addr(2), test.Sprint("an evacuated engine is a source of KV cache"))
			}
		}
		q.Tried = nil
		for _, m := range w.Fleet.Members("s") {
			m.Health.RecordFailure(time.Now(), true)
		}
		p, ok := w.Place(q)
		must.True(t, ok, must.Sprint("failing endpoints are used where no other is allowed"))
		test.NotEq(t, "e2", p.Member.ID)
	}
}

// TestAllEvacuated checks that requests are refused at once where every failure domain is
// evacuated, and accepted as soon as one is restored. An unknown domain has no effect.
func TestAllEvacuated(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	w.evacuate("north", "nowhere")
	p, ok := w.Place(query())
	test.False(t, ok)
	test.Zero(t, p.RetryDelay(time.Second), test.Sprint("the request is refused without waiting"))
	test.Eq(t, "evacuated", p.Reason)
	w.evacuate("nowhere")
	_, ok = w.Place(query())
	test.True(t, ok)
}

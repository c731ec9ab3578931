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
func (fx *fixture) evacuate(domains ...string) {
	evacuated := make(map[string]bool)
	for _, d := range domains {
		evacuated[d] = true
	}
	fx.Placer.Evacuated = func(domain string) bool { return evacuated[domain] }
}

// setDomains assigns the endpoints to failure domains, in their order.
func (fx *fixture) setDomains(domains ...string) {
	f := fleet.New(zerolog.Nop())
	for i, m := range fx.members {
		e := *m.Endpoint()
		e.Domain = domains[i]
		fx.KVIndex.Engines()[m.ID].Domain = domains[i]
		f.Update(&e, time.Now())
	}
	fx.Fleet = f
}

// TestEvacuatedEndpointsGetNoRequests checks that no request is sent to an evacuated failure
// domain, neither a first attempt nor a retry, even where all other endpoints fail.
func TestEvacuatedEndpointsGetNoRequests(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(2): shared(1, "")}, 1, 1, 1)
	fx.setDomains("north", "north", "east")
	fx.evacuate("east")
	plain := &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{}}
	for _, q := range []*forward.Query{query(), plain} {
		for _, tried := range [][]string{nil, {"e0"}, {"e0", "e1"}} {
			q.Tried = tried
			p, ok := fx.Place(q)
			must.Eq(t, len(tried) < 2, ok)
			if ok {
				test.NotEq(t, "e2", p.Member.ID)
				test.SliceNotContains(t, p.Attempt.Sources, addr(2), test.Sprint("an evacuated engine is no source of KV cache"))
			}
		}
		q.Tried = nil
		for _, m := range fx.Fleet.Members("s") {
			m.Health.RecordFailure(time.Now(), true)
		}
		p, ok := fx.Place(q)
		must.True(t, ok, must.Sprint("failing endpoints are used where no other is allowed"))
		test.NotEq(t, "e2", p.Member.ID)
	}
}

// TestAllEvacuated checks that requests are refused at once where every failure domain is
// evacuated, and accepted as soon as one is restored. An unknown domain has no effect.
func TestAllEvacuated(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.evacuate("north", "nowhere")
	p, ok := fx.Place(query())
	test.False(t, ok)
	test.Zero(t, p.RetryDelay(time.Second), test.Sprint("the request is refused without waiting"))
	test.Eq(t, "evacuated", p.Reason)
	fx.evacuate("nowhere")
	_, ok = fx.Place(query())
	test.True(t, ok)
}

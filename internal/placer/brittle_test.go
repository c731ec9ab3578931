package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/senders"
)

// TestNothingWaitsAtBrittleEndpoints checks that requests for endpoints that bear few refusals fill their
// slots at most, and that nothing is sent to one that refused for a second.
func TestNothingWaitsAtBrittleEndpoints(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1)
	fx.Brittle = &brittle.Limiter{Node: "n", View: func(string, int) senders.View { return senders.View{Generation: 1, Nodes: []string{"n"}} }}
	slots := 0
	for _, m := range fx.members {
		e := *m.Endpoint()
		e.Slots = 4
		fx.Fleet.Update(&e, time.Now())
		slots += e.Slots
		m.Signals.SetBrittle(1, time.Now())
	}
	placed := 0
	for {
		p, ok := fx.Place(plainQuery())
		if !ok {
			test.Eq(t, "brittle", p.Reason)
			test.Positive(t, p.OnRefusal())
			break
		}
		p.Member.Load.Begin(0, 0)
		placed++
	}
	must.Eq(t, slots, placed)
	first := fx.members[0]
	first.Load.End(0)
	first.Signals.RecordRefusal(time.Now())
	_, ok := fx.Place(plainQuery())
	test.False(t, ok)
	first.Signals.RecordRefusal(time.Now().Add(-time.Second))
	p, ok := fx.Place(plainQuery())
	must.True(t, ok)
	test.Eq(t, first.ID, p.Member.ID)
}

func TestBrittleEndsWithASignedAnswerWithoutTheReport(t *testing.T) {
	var s fleet.Signals
	now := time.Now()
	must.True(t, s.SetBrittle(3, now))
	test.False(t, s.SetBrittle(3, now))
	test.False(t, s.ClearBrittle(now.Add(-time.Second), now.Add(time.Second)), test.Sprint("sent before the report"))
	must.True(t, s.ClearBrittle(now.Add(time.Second), now.Add(2*time.Second)))
	_, inForce := s.Brittle()
	test.False(t, inForce)
	test.False(t, s.SetBrittle(1, now), test.Sprint("an older answer"))
}

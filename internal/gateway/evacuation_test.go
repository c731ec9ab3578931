package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
)

// given and takenBack are records of an evacuation order.
func given(domain string) follow.Record {
	return follow.Record{Key: "evacuate/" + domain, Value: []byte("{}")}
}
func takenBack(domain string) follow.Record { return follow.Record{Key: "evacuate/" + domain} }

func newEvacuationState() (s *state, ended *[]string) {
	ended = new([]string)
	s = newState(noBounds, zerolog.Nop())
	s.evacuations.ending = func(domain string) { *ended = append(*ended, domain) }
	return s, ended
}

func (s *state) readsNow(snapshot bool, records ...follow.Record) {
	s.Apply(follow.Batch{Records: records, Snapshot: snapshot, ProvenAt: time.Now()})
}

// Callers' requests reached endpoints of a failure domain long after the operators had asked that
// nothing more be sent there: nodes read only the configuration and the versions of weights of the
// operators' topic, and passed over the orders.

// TestEvacuationOrders follows orders through records, snapshots and their removal.
func TestEvacuationOrders(t *testing.T) {
	s, ended := newEvacuationState()
	test.False(t, s.Evacuated("north"))
	s.readsNow(true, given("north"))
	test.True(t, s.Evacuated("north"), test.Sprint("found at the start"))
	test.False(t, s.Evacuated("east"))
	s.readsNow(false, given("east"), given("nowhere"))
	test.True(t, s.Evacuated("north") && s.Evacuated("east") && s.Evacuated("nowhere"))
	s.readsNow(false)
	test.True(t, s.Evacuated("east"), test.Sprint("nothing new was read"))
	s.readsNow(false, takenBack("north"))
	test.False(t, s.Evacuated("north"))
	test.True(t, s.Evacuated("east"))
	s.readsNow(true, given("east"))
	test.True(t, s.Evacuated("east"))
	test.False(t, s.Evacuated("nowhere"), test.Sprint("taken back in a gap of the history"))
	test.Eq(t, []string{"north", "nowhere"}, *ended)
}

// TestEvacuationValues takes an order with any value for one: its writer can only be an operator, and
// sending nothing is the safe reading.
func TestEvacuationValues(t *testing.T) {
	for _, value := range []string{"{}", "null", "", "\xff", `{"x":1}`} {
		s, _ := newEvacuationState()
		s.readsNow(false, follow.Record{Key: "evacuate/north", Value: append([]byte{}, value...)})
		test.True(t, s.Evacuated("north"), test.Sprint(value))
	}
	s, _ := newEvacuationState()
	s.readsNow(false, follow.Record{Key: "evacuate/", Value: []byte("{}")}, follow.Record{Key: "evacuated/north", Value: []byte("{}")})
	test.False(t, s.Evacuated(""), test.Sprint("no failure domain is named"))
	test.False(t, s.Evacuated("north"))
}

// TestEvacuationGivenAgain tells that endpoints are given back also where the order was taken back and
// given again between two reads: they may have turned cold.
func TestEvacuationGivenAgain(t *testing.T) {
	s, ended := newEvacuationState()
	s.readsNow(false, given("north"))
	s.readsNow(false, takenBack("north"), given("north"))
	test.True(t, s.Evacuated("north"))
	test.Eq(t, []string{"north"}, *ended)
	s.readsNow(false, takenBack("north"))
	test.False(t, s.Evacuated("north"))
	test.Eq(t, []string{"north", "north"}, *ended)
}

// TestEvacuationsBeforeRequests knows the orders in force before it has a configuration to serve by.
func TestEvacuationsBeforeRequests(t *testing.T) {
	s, _ := newEvacuationState()
	config := follow.Record{Key: "config", Value: []byte(`{"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}`)}
	for _, records := range [][]follow.Record{{config, given("north")}, {given("north"), config}} {
		fresh, _ := newEvacuationState()
		fresh.readsNow(true, slices.Clone(records)...)
		c, _ := fresh.Config()
		test.NotNil(t, c)
		test.True(t, fresh.Evacuated("north"))
	}
	c, _ := s.Config()
	test.Nil(t, c)
}

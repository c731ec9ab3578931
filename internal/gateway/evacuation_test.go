package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
)

// evacuationRecord and evacuationEndRecord return the records that start and end an evacuation.
func evacuationRecord(domain string) follow.Record {
	return follow.Record{Key: "evacuate/" + domain, Value: []byte("{}")}
}
func evacuationEndRecord(domain string) follow.Record {
	return follow.Record{Key: "evacuate/" + domain}
}

// newEvacuationState returns a state, and a list to which the domains of ended evacuations are
// appended.
func newEvacuationState() (s *state, ended *[]string) {
	ended = new([]string)
	s = newState(noBounds, zerolog.Nop())
	s.evacuations.onEnd = func(domain string) { *ended = append(*ended, domain) }
	return s, ended
}

// applyNow applies records as a read that was sent now.
func (s *state) applyNow(snapshot bool, records ...follow.Record) {
	s.Apply(follow.Batch{Records: records, Snapshot: snapshot, ConfirmedAt: time.Now()})
}

// TestEvacuationOrders checks that nodes apply the evacuation orders in the operators' topic,
// through records, snapshots and removals. Otherwise requests would reach the endpoints of
// evacuated failure domains.
func TestEvacuationOrders(t *testing.T) {
	s, ended := newEvacuationState()
	test.False(t, s.Evacuated("north"))
	s.applyNow(true, evacuationRecord("north"))
	test.True(t, s.Evacuated("north"), test.Sprint("found by the first read"))
	test.False(t, s.Evacuated("east"))
	s.applyNow(false, evacuationRecord("east"), evacuationRecord("nowhere"))
	test.True(t, s.Evacuated("north") && s.Evacuated("east") && s.Evacuated("nowhere"))
	s.applyNow(false)
	test.True(t, s.Evacuated("east"), test.Sprint("no records were read"))
	s.applyNow(false, evacuationEndRecord("north"))
	test.False(t, s.Evacuated("north"))
	test.True(t, s.Evacuated("east"))
	s.applyNow(true, evacuationRecord("east"))
	test.True(t, s.Evacuated("east"))
	test.False(t, s.Evacuated("nowhere"), test.Sprint("withdrawn, but the record was not read"))
	test.Eq(t, []string{"north", "nowhere"}, *ended)
}

// TestEvacuationValues checks that an order is accepted with any value: only operators write it,
// and to send nothing is the safe interpretation.
func TestEvacuationValues(t *testing.T) {
	for _, value := range []string{"{}", "null", "", "\xff", `{"x":1}`} {
		s, _ := newEvacuationState()
		s.applyNow(false, follow.Record{Key: "evacuate/north", Value: append([]byte{}, value...)})
		test.True(t, s.Evacuated("north"), test.Sprint(value))
	}
	s, _ := newEvacuationState()
	s.applyNow(false, follow.Record{Key: "evacuate/", Value: []byte("{}")}, follow.Record{Key: "evacuated/north", Value: []byte("{}")})
	test.False(t, s.Evacuated(""), test.Sprint("no failure domain is named"))
	test.False(t, s.Evacuated("north"))
}

// TestEvacuationReissued checks that the end of an evacuation is reported even if the order was
// withdrawn and issued again between two reads: the endpoints may have become cold.
func TestEvacuationReissued(t *testing.T) {
	s, ended := newEvacuationState()
	s.applyNow(false, evacuationRecord("north"))
	s.applyNow(false, evacuationEndRecord("north"), evacuationRecord("north"))
	test.True(t, s.Evacuated("north"))
	test.Eq(t, []string{"north"}, *ended)
	s.applyNow(false, evacuationEndRecord("north"))
	test.False(t, s.Evacuated("north"))
	test.Eq(t, []string{"north", "north"}, *ended)
}

// TestEvacuationsBeforeConfig checks that the evacuations are known as soon as a configuration is
// available, in either order of the records.
func TestEvacuationsBeforeConfig(t *testing.T) {
	s, _ := newEvacuationState()
	config := follow.Record{Key: "config", Value: []byte(`{"version":1,"routes":[],"services":[],"limits":{},"tenants":[]}`)}
	for _, records := range [][]follow.Record{{config, evacuationRecord("north")}, {evacuationRecord("north"), config}} {
		fresh, _ := newEvacuationState()
		fresh.applyNow(true, slices.Clone(records)...)
		c, _ := fresh.Config()
		test.NotNil(t, c)
		test.True(t, fresh.Evacuated("north"))
	}
	c, _ := s.Config()
	test.Nil(t, c)
}

package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
)

// TestLateStoreIsAvoided checks that a store whose fetches delay first events is avoided, so that
// the parts are read, and that it is used again later.
func TestLateStoreIsAvoided(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1)
	place := func() forward.Placement {
		p, ok := fx.Place(query())
		must.True(t, ok)
		must.NotNil(t, p.RecordFirstEvent)
		return p
	}
	for range 8 {
		place().RecordFirstEvent(2 * time.Second)
	}
	p := place()
	test.Nil(t, p.Attempt.Sources)
	test.Eq(t, 11500, p.PrefillTokens)
	keep := fx.KVIndex.Stores()[0]
	for range 8 {
		keep.Late.Observe(0, time.Now())
	}
	test.NotNil(t, place().Attempt.Sources)
}

// TestAvoidsStoreReportedLateByPeers checks that a store is avoided if several peers report late
// fetches from it.
func TestAvoidsStoreReportedLateByPeers(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1)
	for i := range 3 {
		fx.PeerLoads.Record(peerload.Digest{Node: fmt.Sprint("n", i), Incarnation: 1, Seq: 1, Late: []peerload.Late{{Addr: store, MS: 900}}}, time.Now())
	}
	p, ok := fx.Place(query())
	must.True(t, ok)
	test.Nil(t, p.Attempt.Sources)
}

// TestCommonDelayIsSubtracted checks that the delay that all first events have is subtracted
// from the delay of a store.
func TestCommonDelayIsSubtracted(t *testing.T) {
	fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1)
	for range 20 {
		fx.CommonDelay.Observe(700, time.Now())
		p, ok := fx.Place(query())
		must.True(t, ok)
		p.RecordFirstEvent(800 * time.Millisecond)
	}
	test.Less(t, 250, fx.KVIndex.Stores()[0].Late.MS(time.Now()), test.Sprint("700 of the 800 ms are common to all first events"))
}

// TestFetchEndsInTimeForTheObjective checks that fetches of parts that can be read quickly time out
// when the answer would miss its objective, and that fetches of parts that are costly to read get
// more time. Without this, callers would wait long for small parts, which are read within
// milliseconds, whenever the link of a store is full.
func TestFetchEndsInTimeForTheObjective(t *testing.T) {
	const clockMS = 1000 // the clock in the events of the tests
	for _, tc := range []struct {
		name           string
		session        int
		objective, age time.Duration
		min, max       int64 // ms
	}{
		{"no objective", 500, 0, 0, 1500, 1500},
		{"quick to read", 500, 400 * time.Millisecond, 0, 100, 300},
		{"costly to read again", 9000, 400 * time.Millisecond, 0, 1440, 1500},
		{"a waiting request", 500, 400 * time.Millisecond, 4 * time.Second, 100, 300},
	} {
		t.Run(tc.name, func(t *testing.T) {
			common, session := kvindex.Part{Salt: salt(1, ""), ID: "common"}, kvindex.Part{Salt: salt(1, ""), ID: "session"}
			fx := newFixture(t, fakeEvents{store: []kvindex.Change{{Part: common, Tokens: 100}, {Part: session, Tokens: tc.session}}}, 1)
			q := query()
			q.Attributes.Parts = []forward.Part{{ID: "common", Tokens: 100}, {ID: "session", Tokens: tc.session}, {ID: "own", Tokens: 100}}
			q.Route.Objective, q.Age = tc.objective, tc.age
			before := fx.KVIndex.ClockMS()
			p, ok := fx.Place(q)
			must.True(t, ok)
			must.GreaterEq(t, clockMS, before)
			test.Between(t, before+tc.min, p.Attempt.FetchUntil, fx.KVIndex.ClockMS()+tc.max)
		})
	}
}

// TestUnconfirmedSaveMovesToAnotherStore checks that a part is sent to another store if the chosen
// one does not confirm it. Otherwise, after one lost event of a store, all requests would send the
// part to that store again, though it has it, and the prompts that begin with the part would be
// read in full.
func TestUnconfirmedSaveMovesToAnotherStore(t *testing.T) {
	const large, small = "10.9.0.2:1", "10.9.0.3:1"
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	now := time.Now()
	fx.Now = func() time.Time { return now }
	first := kvindex.NewHolder(large, large, "north")
	first.Tokens = 1_000_000_000
	second := kvindex.NewHolder(small, small, "north")
	second.Tokens = 20_000
	fx.KVIndex.Replace(nil, []*kvindex.Holder{first, second})
	for i, want := range [][]string{{large, large, ""}, nil, {small, small, ""}, nil, {large, large, ""}} {
		p, ok := fx.Place(query())
		must.True(t, ok)
		test.Eq(t, want, p.Attempt.Targets, test.Sprint("placement ", i, ", one every 2 s"))
		now = now.Add(2 * time.Second)
	}
}

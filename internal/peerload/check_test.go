package peerload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// newReceiver returns an exchange that receives digests and sends none.
func newReceiver() *Exchange {
	return &Exchange{Table: NewTable(), config: Config{Members: func() []*fleet.Member { return nil }}, log: zerolog.Nop()}
}

// TestDigestsOutOfRange checks that invalid digests are rejected without any effect.
func TestDigestsOutOfRange(t *testing.T) {
	for _, text := range []string{
		"null", "{}", "[]", "7", `{"node":7}`, `{"node":"n","loads":[null]}`, `{"node":"n","loads":[["e",1,2,3]]}`, `{"node":"n","loads":[["e",-1,0,0,0]]}`,
		`{"node":"n","loads":[["e",0,0,-5,0]]}`, `{"node":"n","loads":[["e",0,1e30,0,0]]}`, `{"node":"n","loads":[["e",9223372036854775807,0,0,0]]}`,
		`{"node":"n","loads":[["e",0,0,0,101]]}`, `{"node":"n","late":[{"addr":"a","ms":-1}]}`, `{"node":"n","late":[{"addr":"a","ms":1000000}]}`,
		`{"node":"n","for_ms":9223372036854775807,"loading":["e"]}`, `{"node":"n","for_ms":-1}`, `{"node":"n","seq":1.5}`, `{"node":"n","loading":[7]}`,
		`{"node":"n","seen":[{"model":"m","version":-1,"endpoints":["e"]}]}`, `{"node":"n","seen":[{"model":"m","version":1,"endpoints":["e"],"ages_ms":[-1]}]}`,
		`{"node":"n","seen":[{"model":"m","version":1,"endpoints":["e"],"ages_ms":[9223372036854775807]}]}`,
	} {
		e := newReceiver()
		_, err := e.receiveDigest(json.RawMessage(text))
		test.Error(t, err, test.Sprint(text))
		test.Eq(t, 1, e.Table.Nodes(), test.Sprint(text))
		test.MapEmpty(t, e.Table.Loads(time.Now()).reported)
	}
}

// TestOwnDigestsAreInRange checks that a node's digests are valid whatever it counted.
func TestOwnDigestsAreInRange(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:9"}, time.Now())
	m := f.All()[0]
	m.Load.Begin(-5, 1<<62)
	d := &Digest{Node: "n"}
	d.setLoads(f.All(), 1, time.Now())
	test.Eq(t, []Load{{Endpoint: "e", Running: 1, HeldTokens: maxCount}}, d.Loads)
	test.NoError(t, d.check())
}

// FuzzReceiveDigest checks that any data yields an error, or sums that are not negative and
// closures that expire.
func FuzzReceiveDigest(f *testing.F) {
	for _, seed := range []string{`{"node":"n","incarnation":1,"seq":1,"loads":[["e",1,2,3,20]],"late":[{"addr":"a","ms":200}],"for_ms":800,"loading":["e"]}`, "{}", "null"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := newReceiver()
		if _, err := e.receiveDigest(data); err != nil {
			return
		}
		now := time.Now()
		for _, sum := range e.Table.Loads(now).reported {
			test.True(t, sum.Running >= 0 && sum.PendingPromptTokens >= 0 && sum.HeldTokens >= 0 && sum.FailureRate() >= 0)
		}
		test.MapEmpty(t, e.Table.Closed(now.Add(maxClosedMs*time.Millisecond)))
		test.LessEq(t, 2, e.Table.Nodes())
	})
}

// TestDigestReceivedWhileTheAggregateIsMadeIsAccepted guards against aggregates with negative ages, which their receivers reject.
func TestDigestReceivedWhileTheAggregateIsMadeIsAccepted(t *testing.T) {
	table, received := NewTable(), now.Add(10*time.Millisecond)
	table.Record(Digest{
		Node: "a", Incarnation: 1, Seq: 1, Leads: true, ForMs: 40,
		UnlistedWeights: []UnlistedWeights{{Model: "m", Version: 2, Endpoints: []string{"e"}, StartedMs: []int64{1}, AgesMs: []int64{0}}},
		Limits:          []Limit{{Endpoint: "e", PerSecond: 2}},
		Slow:            []Slow{{Endpoint: "e", Tenths: tenths + 1}},
		Brittle:         []Brittle{{Service: "models", Refusals: 2}},
	}, received)
	outer := &DomainLoad{
		Node: "n", Domain: "d1", Incarnation: 1, Seq: 1, Loads: Sums{}.encodeCoarse(),
		Limits: []Limit{{Endpoint: "f", PerSecond: 2}}, Brittle: []Brittle{{Service: "other", Refusals: 2}},
	}
	must.NoError(t, table.RecordDomainLoad(outer, received))

	a := table.Collect(now)
	must.NoError(t, a.check())
	test.Eq(t, []RelayedOrders{{Leads: true, ForMs: 40}}, a.Orders)
	test.Len(t, 2, a.Limits)
	test.Len(t, 2, a.Brittle)
	test.Len(t, 1, a.Slow)
}

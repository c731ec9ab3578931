package peerload

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/enginepace"
)

const slowEngine = "i-0000000000"

// TestSlowEnginesReachDomain guards against nodes that keep sending prompts to an engine that others
// observe to be slow, in a small system and in one with collectors, and against smaller factors that
// hide larger ones.
func TestSlowEnginesReachDomain(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{6, 3}, {71, 3}} {
		runNetwork(t, size.nodes, size.domains, 2, func(t *testing.T, w *network) {
			first := w.nodes[addrOf(0)]
			reached := func(n *networkNode) bool {
				return n != first && (size.nodes <= 12 || n.domain == first.domain)
			}
			first.observeSlow(Slow{Endpoint: slowEngine, Start: 5, Tenths: 25})
			w.nodes[addrOf(size.domains)].observeSlow(Slow{Endpoint: slowEngine, Start: 5, Tenths: 19})
			w.forEachLive(func(n *networkNode) { n.RequestReport() })
			time.Sleep(200 * time.Millisecond)
			w.forEachLive(func(n *networkNode) {
				if reached(n) {
					test.Eq(t, 2.5, n.Table.Slow(time.Now()).Factor(slowEngine, 4), test.Sprint(size, " ", n.config.Node))
					test.Eq(t, 1, n.Table.Slow(time.Now()).Factor(slowEngine, 5), test.Sprint("another start"))
				}
			})
			first.observeSlow()
			w.nodes[addrOf(size.domains)].observeSlow()
			time.Sleep(slowLifetime)
			w.forEachLive(func(n *networkNode) {
				test.Eq(t, 1, n.Table.Slow(time.Now()).Factor(slowEngine, 4), test.Sprint("no longer reported"))
			})
		})
	}
}

// TestSlowLifetime guards against reports that count for longer than slowLifetime after the last
// sign because their age at the sender, or in a collector's aggregate, is not counted.
func TestSlowLifetime(t *testing.T) {
	start := time.Now()
	collector := NewTable()
	collector.Record(Digest{Node: "a", Incarnation: 1, Seq: 1, Slow: []Slow{{Endpoint: "e", Tenths: 25, AgeMs: 300}, {Endpoint: "old", Tenths: 25, AgeMs: 601}}}, start)
	aggregate := collector.Collect(start.Add(100 * time.Millisecond))
	test.Eq(t, []Slow{{Endpoint: "e", Tenths: 25, AgeMs: 400}}, aggregate.Slow)
	receiver := NewTable()
	receiver.Record(Digest{Node: "c", Incarnation: 1, Seq: 1, Aggregate: aggregate}, start.Add(100*time.Millisecond))
	for _, table := range []*Table{collector, receiver} {
		test.Eq(t, 2.5, table.Slow(start.Add(300*time.Millisecond)).Factor("e", 7), test.Sprint("a report without a start counts for each"))
		test.Eq(t, 1, table.Slow(start.Add(301*time.Millisecond)).Factor("e", 7))
		test.MapEmpty(t, table.Slow(start.Add(time.Second)))
	}
	test.Nil(t, collector.Collect(start.Add(301*time.Millisecond)).Slow)
}

// TestSlowest guards against aggregates that grow without bound, pass on the smaller factor, or drop
// the slowest engines.
func TestSlowest(t *testing.T) {
	var list []Slow
	for i := range 3 * maxSlow {
		list = append(list, Slow{Endpoint: fmt.Sprint("e", i), Tenths: 11 + i%29}, Slow{Endpoint: fmt.Sprint("e", i), Tenths: 11, AgeMs: 1})
	}
	list = append(list, Slow{Endpoint: "e0", Tenths: 40, AgeMs: 500}, Slow{Endpoint: "e0", Start: 3, Tenths: 40})
	kept := slowest(list)
	must.Len(t, maxSlow, kept)
	test.SliceContains(t, kept, Slow{Endpoint: "e0", Tenths: 40, AgeMs: 500})
	test.SliceContains(t, kept, Slow{Endpoint: "e0", Start: 3, Tenths: 40})
	test.SliceNotContains(t, kept, Slow{Endpoint: "e0", Tenths: 11})
	test.NoError(t, checkSlow(kept))
}

// TestSlowOutOfRange guards against messages that make engines look slow without bound.
func TestSlowOutOfRange(t *testing.T) {
	valid := Slow{Endpoint: "e", Start: 3, Tenths: 25, AgeMs: 20}
	changes := []func(*Slow){
		func(s *Slow) { s.Endpoint = "" },
		func(s *Slow) { s.Start = -1 }, func(s *Slow) { s.Start = startTagCount + 1 },
		func(s *Slow) { s.Tenths = 10 }, func(s *Slow) { s.Tenths = -25 }, func(s *Slow) { s.Tenths = 41 },
		func(s *Slow) { s.AgeMs = -1 }, func(s *Slow) { s.AgeMs = 1 << 40 },
	}
	for _, change := range changes {
		s := valid
		change(&s)
		test.Error(t, (&Digest{Node: "n", Slow: []Slow{s}}).check(), test.Sprintf("%+v", s))
		test.Error(t, (&Digest{Node: "n", Aggregate: &Aggregate{Slow: []Slow{s}}}).check(), test.Sprintf("%+v", s))
	}
	test.Error(t, (&Digest{Node: "n", Slow: make([]Slow, maxSlow+1)}).check())
	test.NoError(t, (&Digest{Node: "n", Slow: []Slow{valid}, Aggregate: &Aggregate{Slow: []Slow{valid}}}).check())
}

// TestSlowEncoding guards against reports that other builds can't read: one without the field, one
// with further elements, and a verdict whose values don't survive the round trip.
func TestSlowEncoding(t *testing.T) {
	verdict := enginepace.Verdict{Engine: enginepace.Engine{ID: "e", StartedMs: 4}, Factor: 2.54, Age: 70 * time.Millisecond}
	sent := Digest{Node: "n", Slow: []Slow{NewSlow(&verdict)}}
	data, err := json.Marshal(sent)
	must.NoError(t, err)
	test.StrContains(t, string(data), `"slow":[["e",5,25,70]]`)
	var received Digest
	must.NoError(t, json.Unmarshal(data, &received))
	test.Eq(t, sent, received)
	test.NoError(t, received.check())

	var without Digest
	must.NoError(t, json.Unmarshal([]byte(`{"node":"n","loads":[["e",1,2,3,0]]}`), &without))
	test.NoError(t, without.check())
	table := NewTable()
	table.Record(without, time.Now())
	test.Eq(t, 1, table.Slow(time.Now()).Factor("e", 4))
	empty, err := json.Marshal(Digest{Node: "n"})
	must.NoError(t, err)
	test.StrNotContains(t, string(empty), "slow")

	var s Slow
	must.NoError(t, json.Unmarshal([]byte(`["e",5,25,70,"later"]`), &s))
	test.Eq(t, sent.Slow[0], s)
	for _, text := range []string{`["e",5,25]`, `[]`, `{}`, `["e","5",25,70]`, `[7,5,25,70]`} {
		test.Error(t, json.Unmarshal([]byte(text), &s), test.Sprint(text))
	}
	for _, factor := range []float64{0, 1, 1.001, 4, 1e9} {
		verdict.Factor = factor
		test.NoError(t, checkSlow([]Slow{NewSlow(&verdict)}), test.Sprint(factor))
	}
}

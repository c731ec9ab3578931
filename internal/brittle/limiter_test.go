package brittle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/senders"
)

func limiters(nodes int) []*Limiter {
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	view := func(string, int) senders.View { return senders.View{Nodes: names} }
	var list []*Limiter
	for _, name := range names {
		list = append(list, &Limiter{Node: name, View: view})
	}
	return list
}

// TestSlotsAreNeverOverfilledByWhatNodesKnow checks that the requests of all nodes together fill at most the
// slots if all know of each other's requests, and at most the open half more if none does.
func TestSlotsAreNeverOverfilledByWhatNodesKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := limiters(rapid.IntRange(1, 60).Draw(t, "nodes"))
		e := Endpoint{ID: "e", Slots: rapid.IntRange(1, 64).Draw(t, "slots"), Refusals: rapid.IntRange(0, 20).Draw(t, "refusals")}
		known := rapid.Bool().Draw(t, "known")
		own, total := make([]int, len(nodes)), 0
		now := time.Unix(1000, 0)
		for range 4 * e.Slots * len(nodes) {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			at := e
			at.Own = own[i]
			if known {
				at.Others = total - own[i]
			}
			if nodes[i].Wait(&at, now) == 0 {
				own[i]++
				total++
			}
		}
		if known && total > e.Slots {
			t.Fatalf("%d requests at %d slots", total, e.Slots)
		}
		if open := (e.Slots + 1) / 2; !known && total > open*len(nodes)+e.Slots {
			t.Fatalf("%d requests at %d slots of %d nodes", total, e.Slots, len(nodes))
		}
	})
}

func TestNodeThatWasRefusedPauses(t *testing.T) {
	l := limiters(1)[0]
	now := time.Unix(1000, 0)
	e := Endpoint{ID: "e", Slots: 4, Refusals: 1, RefusedAt: now}
	test.Eq(t, time.Second, l.Wait(&e, now))
	test.Eq(t, 0, l.Wait(&e, now.Add(time.Second)))
}

func TestEverySlotIsUsedByTheSenders(t *testing.T) {
	now, total := time.Unix(1000, 0), 0
	for _, l := range limiters(30) {
		e := Endpoint{ID: "e", Slots: 12, Refusals: 4, Others: 6}
		for l.Wait(&e, now) == 0 && e.Own < e.Slots {
			e.Own++
		}
		total += e.Own
	}
	test.Eq(t, 6, total)
}

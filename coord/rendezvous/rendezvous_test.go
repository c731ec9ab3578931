package rendezvous

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func makeNodes(n int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprintf("node-%05d", i), Weight: float64(1 + i%3)}
	}
	return nodes
}

func drawNodes(t *rapid.T) []Node {
	weight := rapid.SampledFrom([]float64{0.5, 1, 1, 2, 7})
	ids := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 40, rapid.ID[string]).Draw(t, "ids")
	nodes := make([]Node, len(ids))
	for i, id := range ids {
		nodes[i] = Node{ID: id, Weight: weight.Draw(t, "weight")}
	}
	return nodes
}

// TestMinimalDisruption removes one node and checks that the other nodes keep their order in
// every result, and that Top, Set and Slots agree.
func TestMinimalDisruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		k := rapid.IntRange(1, 20).Draw(t, "k")
		removed := rapid.IntRange(0, len(nodes)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(nodes), removed, removed+1)
		before, after := NewSet(nodes), NewSet(remaining)
		slotsBefore, slotsAfter := NewSlots(before, 64, k+1), NewSlots(after, 64, k)
		for i := range 20 {
			key := fmt.Sprint("key", i)
			want := slices.DeleteFunc(Top(k+1, key, nodes), func(id string) bool { return id == nodes[removed].ID })
			want = want[:min(k, len(want))]
			must.Eq(t, want, Top(k, key, remaining))
			must.Eq(t, want, after.AppendTop(nil, k, key))
			owner, ok := before.Owner(key)
			must.True(t, ok)
			must.Eq(t, Top(1, key, nodes)[0], owner)
			plain, _ := Owner(key, nodes)
			must.Eq(t, owner, plain)
			slot := slices.DeleteFunc(slices.Clone(slotsBefore.Top(key)), func(id string) bool { return id == nodes[removed].ID })
			must.Eq(t, slot[:min(k, len(slot))], slotsAfter.Top(key))
		}
	})
}

// TestSharesMatchWeights bounds the relative deviation of each node's share of the keys from its
// expected share.
func TestSharesMatchWeights(t *testing.T) {
	const keys = 60_000
	nodes := makeNodes(9)
	set := NewSet(nodes)
	slots := NewSlots(set, 1<<14, 1)
	direct, slotted := map[string]int{}, map[string]int{}
	for i := range keys {
		key := fmt.Sprint(i)
		owner, _ := set.Owner(key)
		direct[owner]++
		slotted[slots.Top(key)[0]]++
	}
	for _, n := range nodes {
		want := keys * n.Weight / 18
		test.LessEq(t, 0.05, math.Abs(float64(direct[n.ID])/want-1))
		test.LessEq(t, 0.10, math.Abs(float64(slotted[n.ID])/want-1))
	}
}

func TestUnusableNodes(t *testing.T) {
	nodes := []Node{{"a", 0}, {"b", -1}, {"c", math.NaN()}, {"d", math.Inf(1)}}
	_, ok := Owner("key", nodes)
	test.False(t, ok)
	_, ok = NewSet(nodes).Owner("key")
	test.False(t, ok)
	test.Eq(t, []string{"e"}, Top(3, "key", append(nodes, Node{"e", 1})))
	test.Len(t, 0, Top(0, "key", makeNodes(3)))
	test.Eq(t, 2, NewSet([]Node{{"a", 1}, {"a", 2}, {"b", 1}}).Len())
	test.Len(t, 0, NewSlots(NewSet(nil), 1, 4).Top("key"))
}

func TestAllocations(t *testing.T) {
	nodes := makeNodes(1000)
	set := NewSet(nodes)
	slots := NewSlots(set, 1024, 8)
	slots.Top("key")
	dst := make([]string, 0, 8)
	test.Zero(t, testing.AllocsPerRun(20, func() { Owner("key", nodes) }))
	test.Eq(t, 1, testing.AllocsPerRun(20, func() { Top(8, "key", nodes) }))
	test.Zero(t, testing.AllocsPerRun(20, func() { set.Owner("key") }))
	test.Zero(t, testing.AllocsPerRun(20, func() { set.AppendTop(dst, 8, "key") }))
	test.Zero(t, testing.AllocsPerRun(20, func() { slots.Top("key") }))
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 12000} {
		nodes := makeNodes(n)
		set := NewSet(nodes)
		slots := NewSlots(set, 1024, 8)
		dst := make([]string, 0, 8)
		for _, c := range []struct {
			name string
			call func(key string)
		}{
			{"owner", func(key string) { Owner(key, nodes) }},
			{"set-owner", func(key string) { set.Owner(key) }},
			{"set-top8", func(key string) { set.AppendTop(dst, 8, key) }},
			{"slots-top8", func(key string) { slots.Top(key) }},
		} {
			b.Run(fmt.Sprintf("%s/%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.call("account-17/conversation-4711")
				}
			})
		}
		b.Run(fmt.Sprintf("build-set/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewSet(nodes)
			}
		})
	}
}

// TestTopOfCountsItselfOnce checks that a process ranks itself among the others whether or not these include it.
func TestTopOfCountsItselfOnce(t *testing.T) {
	want := Top(2, "key", []Node{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}})
	for _, others := range [][]string{{"b", "c"}, {"c", "a", "b"}} {
		test.Eq(t, want, TopOf(2, "key", "a", slices.Values(others)))
	}
}

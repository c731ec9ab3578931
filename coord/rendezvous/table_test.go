package rendezvous

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestTableEqualsSet changes nodes, weights and keys at random and checks that the table
// returns the same owners as the set and reports each move once.
func TestTableEqualsSet(t *testing.T) {
	node := rapid.Custom(func(t *rapid.T) Node {
		return Node{
			ID:     fmt.Sprint("n", rapid.IntRange(0, 15).Draw(t, "id")),
			Weight: rapid.SampledFrom([]float64{0, 1, 1, 1, 3, 1e-320}).Draw(t, "weight"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet(nil)
		table := NewTable(set)
		owners := map[string]string{} // owners of the tracked keys, as reported by Add and the moves
		for range 30 {
			key := fmt.Sprint("key", rapid.IntRange(0, 40).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				set = NewSet(rapid.SliceOfN(node, 0, 20).Draw(t, "nodes"))
				table.Update(set, func(m Move) {
					must.Eq(t, owners[m.Key], m.From)
					must.NotEq(t, m.From, m.To)
					owners[m.Key] = m.To
				})
			case 1:
				table.Remove(key)
				delete(owners, key)
			default:
				owners[key], _ = table.Add(key)
			}
			must.Eq(t, len(owners), table.Len())
			for k, reported := range owners {
				want, ok := set.Owner(k)
				got, gotOK := table.Owner(k)
				must.Eq(t, want, got)
				must.Eq(t, ok, gotOK)
				must.Eq(t, want, reported)
			}
			_, ok := table.Owner("untracked")
			must.False(t, ok)
		}
	})
}

func BenchmarkTable(b *testing.B) {
	for _, nodes := range []int{9, 100, 1000} {
		all := make([]Node, nodes)
		for i := range all {
			all[i] = Node{ID: fmt.Sprintf("node-%05d", i), Weight: 1}
		}
		with, without := NewSet(all), NewSet(all[1:])
		for _, keys := range []int{100, 1000, 12000} {
			table := NewTable(with)
			names := make([]string, keys)
			for i := range names {
				names[i] = fmt.Sprintf("engine-%05d", i)
				table.Add(names[i])
			}
			size := fmt.Sprintf("keys=%d/nodes=%d", keys, nodes)
			moves := 0
			b.Run("leave+join/"+size, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					moves = 0
					table.Update(without, func(Move) { moves++ })
					table.Update(with, func(Move) { moves++ })
				}
				b.ReportMetric(float64(moves), "moves")
			})
			b.Run("set-owner-of-all/"+size, func(b *testing.B) {
				for b.Loop() {
					for _, k := range names {
						with.Owner(k)
					}
				}
			})
		}
		b.Run(fmt.Sprintf("owner/nodes=%d", nodes), func(b *testing.B) {
			table := NewTable(with)
			table.Add("engine-00017")
			b.ReportAllocs()
			for b.Loop() {
				table.Owner("engine-00017")
			}
		})
	}
}

package placement

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// BenchmarkPlace places one request in fleets of several sizes. The candidates are selected from
// rendezvous slots, and their estimates are looked up by name.
func BenchmarkPlace(b *testing.B) {
	const candidates, slots = 8, 1 << 16
	for _, size := range []int{9, 100, 1000, 12_000} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			req, estimates, stores := benchInput(candidates)
			nodes, known := make([]rendezvous.Node, size), make(map[string]EngineEstimate, size)
			for i := range nodes {
				nodes[i] = rendezvous.Node{ID: "engine-" + strconv.Itoa(i), Weight: 1}
				known[nodes[i].ID] = estimates[i%candidates]
			}
			table := rendezvous.NewSlots(rendezvous.NewSet(nodes), slots, candidates)
			keys := make([]string, 1024)
			for i := range keys {
				keys[i] = "prefix-" + strconv.Itoa(i)
				table.Top(keys[i])
			}
			rng, engines := newRand(), make([]EngineEstimate, 0, candidates)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				engines = engines[:0]
				for _, id := range table.Top(keys[i%len(keys)]) {
					engines = append(engines, known[id])
				}
				if _, err := Place(req, engines, stores, rng); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

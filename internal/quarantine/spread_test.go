package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestEveryNodeKnows: three nodes each see one endpoint end under a request, with messages lost, a
// node that only reads the topic, and one that starts again. All nodes must know before the shortest
// time after which a node counts as in touch, 3 s; half of them
// within a second.
func TestEveryNodeKnows(t *testing.T) {
	const (
		inTouch = 3 * time.Second
		seeds   = 5
		look    = 10 * time.Millisecond
	)
	for _, size := range []int{7, 82, 295, 1000} {
		var median, worst []time.Duration
		bytes := 0
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(t, seed)
				w.loss = 0.03
				if size > assessors {
					w.relayed = inTouch // the pause between two questions for the nodes' topic
				}
				nodes := w.startAll(size)
				f := print("guilty")
				nodes[size-1].cut = true
				for i := range 3 {
					nodes[i].Note(Ending{f, fmt.Sprint("e", i)})
					if i == 1 {
						w.kill(nodes[i])
						nodes[i] = w.start(i)
					}
				}
				begun := time.Now()
				var half time.Duration
				for time.Since(begun) <= inTouch {
					if known := holding(nodes, f); known == size {
						break
					} else if known > size/2 && half == 0 {
						half = time.Since(begun)
					}
					time.Sleep(look)
				}
				test.Eq(t, size, holding(nodes, f), test.Sprint(size, seed))
				median, worst = append(median, half), append(worst, time.Since(begun))
				w.mu.Lock()
				bytes += w.bytes
				w.mu.Unlock()
				for _, n := range nodes {
					n.stop()
				}
			})
		}
		t.Logf("%d nodes: half know after %v at most, all after %v; %d bytes a node", size, slices.Max(median), slices.Max(worst), bytes/seeds/size)
		test.LessEq(t, time.Second, slices.Max(median), test.Sprint(size))
	}
}

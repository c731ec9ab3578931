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
// node that only reads the topic, and one that starts again. All that hear others must know before
// the shortest time after which a node counts as in touch, 3 s, half of them within a second; the one
// that doesn't knows with its next question for the topic. Each record ends all readers' waits, so few
// are written, though the nodes read them late.
func TestEveryNodeKnows(t *testing.T) {
	const (
		inTouch = 3 * time.Second
		asks    = 3 * time.Second // the pause between two questions for the nodes' topic
		seeds   = 5
		look    = 10 * time.Millisecond
		// recordsAllowed leaves room for a second writer whose messages were lost.
		recordsAllowed = 2
	)
	for _, size := range []int{7, 82, 295, 1000} {
		var half, all []time.Duration
		bytes, written := 0, 0
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(t, seed)
				w.loss = 0.03
				if size > assessors {
					w.relayed = asks
				}
				nodes := w.startAll(size)
				f := print(fmt.Sprint("guilty-", seed))
				deaf, others := nodes[size-1], nodes[:size-1]
				deaf.cut = true
				for i := range 3 {
					nodes[i].Note(Ending{f, fmt.Sprint("e", i)})
					if i == 1 {
						time.Sleep(look)
						synctest.Wait()
						w.kill(nodes[i])
						nodes[i] = w.start(i)
					}
				}
				begun := time.Now()
				within := func(count int) time.Duration {
					for holding(others, f) < count && time.Since(begun) < inTouch {
						time.Sleep(look)
					}
					return time.Since(begun)
				}
				half, all = append(half, within(size/2)), append(all, within(size-1))
				test.Eq(t, size-1, holding(others, f), test.Sprint(size, seed))
				w.mu.Lock()
				bytes += w.bytes
				w.mu.Unlock()
				time.Sleep(time.Until(begun.Add(inTouch + asks)))
				test.False(t, deaf.HeldUntil(f).IsZero())
				written += w.written()
			})
		}
		t.Logf("%d nodes: half know after %v at most, all after %v; %d bytes a node", size, slices.Max(half), slices.Max(all), bytes/seeds/size)
		test.LessEq(t, time.Second, slices.Max(half), test.Sprint(size))
		test.LessEq(t, seeds*recordsAllowed, written, test.Sprint(size))
	}
}

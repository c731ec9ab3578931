package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestHoldReachesEveryNode checks how fast a hold reaches all nodes. Three nodes each see one endpoint
// end during a request, while messages are lost, one node can only read the topic, and one restarts.
// All connected nodes must hold the request within the shortest liveness timeout, 3 s, and half of them
// within a second; the disconnected one holds it after its next poll of the topic. Each record wakes
// all readers, so only few may be written.
func TestHoldReachesEveryNode(t *testing.T) {
	const (
		livenessTimeout = 3 * time.Second
		pollInterval    = 3 * time.Second // poll interval of the nodes' topic
		seeds           = 5
		tick            = 10 * time.Millisecond
		// recordsAllowed permits a second writer, for the case that its messages were lost.
		recordsAllowed = 2
	)
	for _, size := range []int{7, 82, 295, 1000} {
		var half, all []time.Duration
		bytes, written := 0, 0
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork(t, seed)
				nw.loss = 0.03
				if size > coordinators {
					nw.maxReadDelay = pollInterval
				}
				nodes := nw.startAll(size)
				f := print(fmt.Sprint("guilty-", seed))
				disconnected, others := nodes[size-1], nodes[:size-1]
				nw.set(&disconnected.disconnected, true)
				for i := range 3 {
					nodes[i].RecordEnd(Ending{Fingerprint: f, Endpoint: fmt.Sprint("e", i)})
					if i == 1 {
						time.Sleep(tick)
						synctest.Wait()
						nw.kill(nodes[i])
						nodes[i] = nw.start(i)
					}
				}
				start := time.Now()
				timeUntil := func(count int) time.Duration {
					for holdingNodes(others, f) < count && time.Since(start) < livenessTimeout {
						time.Sleep(tick)
					}
					return time.Since(start)
				}
				half, all = append(half, timeUntil(size/2)), append(all, timeUntil(size-1))
				test.Eq(t, size-1, holdingNodes(others, f), test.Sprint(size, seed))
				nw.mu.Lock()
				bytes += nw.bytes
				nw.mu.Unlock()
				time.Sleep(time.Until(start.Add(livenessTimeout + pollInterval)))
				test.False(t, disconnected.HeldUntil(f).IsZero())
				written += nw.writeCount()
			})
		}
		t.Logf("%d nodes: half hold within %v, all within %v; %d bytes per node", size, slices.Max(half), slices.Max(all), bytes/seeds/size)
		test.LessEq(t, time.Second, slices.Max(half), test.Sprint(size))
		test.LessEq(t, seeds*recordsAllowed, written, test.Sprint(size))
	}
}

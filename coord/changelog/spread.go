package changelog

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// fanout is the number of members to which a node sends a notice. Each of them
// forwards it to its share of the rest. 1,000 members are reached in 5 hops.
const fanout = 4

// noticeTimeout is the timeout of one delivery attempt. It is short so that a dead
// member delays the members behind it only a little.
const noticeTimeout = 500 * time.Millisecond

// maxDeliveryAttempts is the maximum number of attempts to deliver a notice to a
// run of members. The attempts go to one member after the other, starting over at
// the end of the run.
const maxDeliveryAttempts = 5

// score returns the position of a member in the order that the seed determines.
// Each seed gives a different order, so the nodes near the root of the tree and
// the first in rank vary.
func score(member string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	d.WriteString(member)
	return d.Sum64()
}

// rank returns the number of members before self in the order of a seed, but at
// most limit.
func rank(members []string, seed uint64, self string, limit int) int {
	own := score(self, seed)
	n := 0
	for _, m := range members {
		if n == limit {
			break
		}
		if score(m, seed) < own {
			n++
		}
	}
	return n
}

// shareEnd returns the distance on the ring of scores, which wraps by integer
// overflow, up to which self forwards a notice: the distance to the member until.
// For the node that sends the notice first, until is self, and the share is the
// whole ring.
func shareEnd(seed uint64, self, until string) uint64 {
	if d := score(until, seed) - score(self, seed); d > 0 {
		return d
	}
	return math.MaxUint64
}

// membersBetween returns the members other than self whose distance from self on
// the ring of a seed is in [start, end), ordered by distance.
func membersBetween(members []string, seed uint64, self string, start, end uint64) []string {
	type memberDistance struct {
		name     string
		distance uint64
	}
	own := score(self, seed)
	var list []memberDistance
	for _, m := range members {
		if d := score(m, seed) - own; m != self && d >= start && d < end {
			list = append(list, memberDistance{m, d})
		}
	}
	slices.SortFunc(list, func(a, b memberDistance) int { return cmp.Compare(a.distance, b.distance) })
	names := make([]string, 0, len(list))
	for _, m := range list {
		names = append(names, m.name)
	}
	return names
}

// maxTrackedSpreads is the number of seeds for which a node tracks its progress.
const maxTrackedSpreads = 64

// spreadTracker tracks, by seed, the distance on the ring up to which this node has
// forwarded notices. Notices of the same records share a seed, so they are not
// forwarded to the same members twice.
type spreadTracker struct {
	mu      sync.Mutex
	reached *lru.Cache[uint64, uint64]
}

func newSpreadTracker() *spreadTracker {
	reached, err := lru.New[uint64, uint64](maxTrackedSpreads)
	if err != nil {
		panic(err) // not reached: the size is positive
	}
	return &spreadTracker{reached: reached}
}

// advance records that this node forwards notices with the seed up to end, and
// returns the distance reached before.
func (t *spreadTracker) advance(seed, end uint64) (before uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, _ = t.reached.Get(seed)
	t.reached.Add(seed, max(before, end))
	return before
}

// splitRuns splits members into at most fanout runs of about equal length.
func splitRuns(members []string) [][]string {
	if len(members) == 0 {
		return nil
	}
	size := (len(members) + fanout - 1) / fanout
	return slices.Collect(slices.Chunk(members, size))
}

// spreadNotice delivers a notice to the members of self's share at or beyond the
// distance done. The first member of each run that accepts the notice forwards it
// to the members after it in the run.
func spreadNotice(ctx context.Context, peers Peers, self string, n Notice, done uint64) {
	var wg sync.WaitGroup
	runs := splitRuns(membersBetween(peers.Members(), n.Seed, self, done, shareEnd(n.Seed, self, n.Until)))
	for i, run := range runs {
		end := n.Until
		if i+1 < len(runs) {
			end = runs[i+1][0]
		}
		wg.Go(func() { deliverToRun(ctx, peers, run, end, n) })
	}
	wg.Wait()
}

// deliverToRun sends a notice to one member after the other until one accepts it.
// The age of the notice includes the time of the failed attempts.
func deliverToRun(ctx context.Context, peers Peers, run []string, until string, n Notice) {
	n.Until = until
	started := time.Now()
	for attempt := range maxDeliveryAttempts {
		if sendNotice(ctx, peers, run[attempt%len(run)], n.withAddedAge(time.Since(started))) == nil {
			return
		}
	}
}

func sendNotice(ctx context.Context, peers Peers, to string, n Notice) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return peers.Notify(ctx, to, n)
}

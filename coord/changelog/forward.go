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

// noticeTimeout is the timeout of one delivery attempt. It is short so that an
// unreachable member delays the members after it only a little.
const noticeTimeout = 500 * time.Millisecond

// maxDeliveryAttempts is the maximum number of attempts to deliver a notice to a
// group of members (see splitGroups). The attempts go to one member after the other,
// starting over at the end of the group.
const maxDeliveryAttempts = 5

// score returns the hash of a member by which the seed orders the members. Each
// seed gives a different order, so the nodes near the root of the tree and the
// first in rank vary.
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

// shareEnd returns the distance from self to the member named by until. self
// forwards a notice to the members nearer than that. Distances are differences of
// scores modulo 2^64, so the scores form a ring. For the node that sends the notice
// first, until is self, and the share is the whole ring.
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

// maxTrackedSeeds is the number of seeds for which a node tracks how far it has
// forwarded notices.
const maxTrackedSeeds = 64

// forwardTracker tracks, by seed, the distance on the ring up to which this node has
// forwarded notices. Except for heartbeats, notices whose segments end at the same
// offset share a seed, so a node forwards only one of them to each member.
type forwardTracker struct {
	mu      sync.Mutex
	reached *lru.Cache[uint64, uint64]
}

func newForwardTracker() *forwardTracker {
	reached, err := lru.New[uint64, uint64](maxTrackedSeeds)
	if err != nil {
		panic(err) // not reached: the size is positive
	}
	return &forwardTracker{reached: reached}
}

// advance records that this node forwards notices with the seed up to the distance
// end, and returns the distance recorded before, 0 for none.
func (t *forwardTracker) advance(seed, end uint64) (before uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, _ = t.reached.Get(seed)
	t.reached.Add(seed, max(before, end))
	return before
}

// splitGroups splits members into at most fanout groups of about equal length.
func splitGroups(members []string) [][]string {
	if len(members) == 0 {
		return nil
	}
	size := (len(members) + fanout - 1) / fanout
	return slices.Collect(slices.Chunk(members, size))
}

// sendToShare delivers a notice to the members of self's share that are not nearer
// than start. The first member of each group that accepts the notice forwards it to
// the members after it in the group.
func sendToShare(ctx context.Context, peers Peers, self string, n Notice, start uint64) {
	var wg sync.WaitGroup
	groups := splitGroups(membersBetween(peers.Members(), n.Seed, self, start, shareEnd(n.Seed, self, n.Until)))
	for i, group := range groups {
		end := n.Until
		if i+1 < len(groups) {
			end = groups[i+1][0]
		}
		wg.Go(func() { deliverToGroup(ctx, peers, group, end, n) })
	}
	wg.Wait()
}

// deliverToGroup sends a notice to one member after the other until one accepts it
// or maxDeliveryAttempts is reached. The age of the notice includes the time of the
// failed attempts.
func deliverToGroup(ctx context.Context, peers Peers, group []string, until string, n Notice) {
	n.Until = until
	started := time.Now()
	for attempt := range maxDeliveryAttempts {
		if sendNotice(ctx, peers, group[attempt%len(group)], n.withAddedAge(time.Since(started))) == nil {
			return
		}
	}
}

func sendNotice(ctx context.Context, peers Peers, to string, n Notice) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return peers.Notify(ctx, to, n)
}

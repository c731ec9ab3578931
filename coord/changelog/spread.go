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

// fanout is how many members a node hands a notice to; each passes it on to its
// share of the rest. 1,000 members are reached in 5 steps.
const fanout = 4

// noticeTimeout bounds one hand-over, so that a dead member costs little.
const noticeTimeout = 500 * time.Millisecond

// handoverTries is how often a run is offered until a member of it answers, one
// member after the other, or the only one again.
const handoverTries = 5

// score places a member in the order of a seed: for each seed other nodes stand
// near the root of the tree, or rank first.
func score(member string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	d.WriteString(member)
	return d.Sum64()
}

// rank returns how many members come before self in the order of a seed, or
// limit if there are that many.
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

// reach returns how far on the ring of scores, whose ends meet by overflow, self
// is responsible for under a seed. The root of a spread is its own until.
func reach(seed uint64, self, until string) uint64 {
	if d := score(until, seed) - score(self, seed); d > 0 {
		return d
	}
	return math.MaxUint64
}

// share returns the members that are further from self on the ring of a seed
// than the first distance and nearer than the second, in order.
func share(members []string, seed uint64, self string, beyond, before uint64) []string {
	type placed struct {
		name     string
		distance uint64
	}
	own := score(self, seed)
	var list []placed
	for _, m := range members {
		if d := score(m, seed) - own; m != self && d >= beyond && d < before {
			list = append(list, placed{m, d})
		}
	}
	slices.SortFunc(list, func(a, b placed) int { return cmp.Compare(a.distance, b.distance) })
	names := make([]string, 0, len(list))
	for _, p := range list {
		names = append(names, p.name)
	}
	return names
}

// rememberedSeeds bounds for how many spreads a node knows what it did.
const rememberedSeeds = 64

// duties remembers how far this node has handed on each spread, so that two
// spreads of the same records, which share a seed, don't go out twice.
type duties struct {
	mu   sync.Mutex
	done *lru.Cache[uint64, uint64]
}

func newDuties() *duties {
	done, err := lru.New[uint64, uint64](rememberedSeeds)
	if err != nil {
		panic(err) // not reached: the size is positive
	}
	return &duties{done: done}
}

// extend notes a duty and returns how far it was done before.
func (d *duties) extend(seed, reach uint64) (before uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, _ = d.done.Get(seed)
	d.done.Add(seed, max(before, reach))
	return before
}

// split cuts a share into at most fanout runs of about equal length.
func split(members []string) [][]string {
	if len(members) == 0 {
		return nil
	}
	size := (len(members) + fanout - 1) / fanout
	return slices.Collect(slices.Chunk(members, size))
}

// spread hands a notice to the members of self's share that are beyond what was
// done. Each run's first member that answers becomes responsible for its rest.
func spread(ctx context.Context, peers Peers, self string, n Notice, done uint64) {
	var wg sync.WaitGroup
	runs := split(share(peers.Members(), n.Seed, self, done, reach(n.Seed, self, n.Until)))
	for i, run := range runs {
		end := n.Until
		if i+1 < len(runs) {
			end = runs[i+1][0]
		}
		wg.Go(func() { handOver(ctx, peers, run, end, n) })
	}
	wg.Wait()
}

func handOver(ctx context.Context, peers Peers, run []string, until string, n Notice) {
	n.Until = until
	begun := time.Now()
	for try := range handoverTries {
		if notify(ctx, peers, run[try%len(run)], n.older(time.Since(begun))) == nil {
			return
		}
	}
}

func notify(ctx context.Context, peers Peers, to string, n Notice) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return peers.Notify(ctx, to, n)
}

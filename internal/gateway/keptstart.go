package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/pace"
)

const (
	// tellPatience is how long after its start a node of a large system leaves it to those that
	// read the store for its failure domain to tell it what all stores keep, before it asks the stores
	// itself. After a loss of power these first ask the stores, which takes them a second or two.
	tellPatience = 4 * time.Second
	// firstPatience is the same where all start for the first time. The stores may come up 5 s after
	// the nodes then, and keep nothing that a caller could miss.
	firstPatience = 10 * time.Second
	// firstGather is how long nodes that start together for the first time take to list themselves.
	// Until then a large system looks like a small one, in which each node asks the stores.
	firstGather = 2 * time.Second
	// tellPause is the time between two looks whether all was told.
	tellPause = 50 * time.Millisecond
)

// awaitTold returns when other nodes have told what all stores keep, or when that isn't to be
// waited for.
//
// It guards against nodes that start together and ask each store, which answers few readers at once.
func (k *keeping) awaitTold(ctx context.Context) {
	for ctx.Err() == nil && !k.index.Told(k.node.clock.Now()) && k.mayBeTold(k.node.clock.Since(k.node.started)) {
		retry.Sleep(ctx, tellPause)
	}
	k.node.log.Info().Str("event", "kept_begins").Bool("told", k.index.Told(k.node.clock.Now())).Int("stores", len(k.index.Stores())).
		Int("nodes", k.node.roster.Nodes()).Int64("age_ms", k.node.clock.Since(k.node.started).Milliseconds()).Send()
}

// mayBeTold reports whether a node that started so long ago may expect others to tell it what the
// stores keep.
func (k *keeping) mayBeTold(age time.Duration) bool {
	roster := k.node.roster
	switch {
	case !roster.Read():
		return age < firstGather // it may be a large system
	case pace.Whole(roster.Nodes()):
		return k.node.boot.Load().First && age < firstGather
	case roster.mayRead():
		return false
	case k.node.boot.Load().First:
		return age < firstPatience
	}
	return age < tellPatience
}

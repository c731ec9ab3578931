package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/intervals"
)

const (
	// reportTimeout is how long a starting node of a large system waits for the nodes that read the
	// metadata store for its failure domain to report the contents of all KV-cache stores, before
	// it queries the KV-cache stores itself. After a power loss those nodes first have to query
	// them, which takes a second or two.
	reportTimeout = 4 * time.Second
	// firstReportTimeout replaces reportTimeout at the first start of the whole system. The
	// KV-cache stores may then come up 5 s after the nodes. They are still empty, so no cached part
	// is overlooked.
	firstReportTimeout = 10 * time.Second
	// firstListTimeout is how long nodes that start together for the first time need to write their
	// entries to the list of nodes. Until then a large system looks like a small one, in which
	// every node queries the KV-cache stores.
	firstListTimeout = 2 * time.Second
	// reportCheckInterval is the time between two checks whether the contents of all KV-cache
	// stores have been reported.
	reportCheckInterval = 50 * time.Millisecond
)

// awaitReports waits until other nodes have reported the contents of all KV-cache stores, or until
// this node should query the stores itself. It prevents nodes that start together from all querying
// each store, which serves few readers at once.
func (c *cacheTracker) awaitReports(ctx context.Context) {
	for ctx.Err() == nil && !c.index.AllRelayed(c.node.clock.Now()) && c.shouldAwaitReports(c.node.clock.Since(c.node.started)) {
		retry.Sleep(ctx, reportCheckInterval)
	}
	c.node.startLog.reach(partStores)
	c.node.log.Info().Str("event", "kept_begins").Bool("told", c.index.AllRelayed(c.node.clock.Now())).Int("stores", len(c.index.Stores())).
		Int("nodes", c.node.roster.Nodes()).Int64("age_ms", c.node.clock.Since(c.node.started).Milliseconds()).Send()
}

// shouldAwaitReports reports whether a node that started age ago should still wait for other nodes
// to report the contents of the KV-cache stores.
func (c *cacheTracker) shouldAwaitReports(age time.Duration) bool {
	roster := c.node.roster
	switch {
	case !roster.Loaded():
		return age < firstListTimeout // the system may be a large one
	case intervals.FullMesh(roster.Nodes()):
		return c.node.boot.Load().FirstStart && age < firstListTimeout
	case roster.readerCandidate():
		return false
	case c.node.boot.Load().FirstStart:
		return age < firstReportTimeout
	}
	return age < reportTimeout
}

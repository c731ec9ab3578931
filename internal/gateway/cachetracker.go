package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
)

const (
	// followInterval is the time between two checks for engines and stores that were added or
	// removed.
	followInterval = 300 * time.Millisecond
	// initialFollowInterval is followInterval at a starting node until a store is configured.
	// Requests arrive immediately, and each prompt part that is not known to be cached is computed
	// again.
	initialFollowInterval = 10 * time.Millisecond
	// maxFreshConfigAge is the maximum age of the configuration up to which its wanted versions are
	// considered current: somewhat more than its age in normal operation. A longer age delays the
	// freeing of outdated parts, whose space new parts need.
	maxFreshConfigAge = 2800 * time.Millisecond
	// maxReferenceConfigAge is the maximum age of the configuration at which a node references
	// parts of the newest version that it has read. Other nodes cannot have read a replacement
	// before that configuration was current, and wait for freeDelay from then on. KV cache is
	// therefore still fetched from stores during a metadata store outage of some seconds.
	maxReferenceConfigAge = replacedReferenceTime + maxFreshConfigAge
	// replacedReferenceTime is how long parts of a replaced version are still referenced, for
	// engines that have not loaded the new one. It is about the duration of a rollout.
	replacedReferenceTime = 9 * time.Second
	// freeDelay is the time from the replacement of a version until its parts are freed. A node
	// references them until replacedReferenceTime after it read the new version, which happens at
	// most maxFreshConfigAge late, and no fetch takes longer than placer.FetchLimit.
	freeDelay = replacedReferenceTime + maxFreshConfigAge + placer.FetchLimit + 500*time.Millisecond
	// minReportedLatenessMs is the lateness of fetches above which it is reported to peers. A busy
	// engine without store problems usually delays the first event by less.
	minReportedLatenessMs = 100.0
	// freeSlots and freeSlotInterval stagger the nodes' searches for parts to free, so that most
	// nodes find nothing left.
	freeSlots        = 6
	freeSlotInterval = 400 * time.Millisecond
	// nonStandbyFreeDelay is the additional delay at nodes of a large system that are not standbys
	// for the claim on orders. Freeing sends a reference to each part to its store, which saturates
	// a small host's link.
	nonStandbyFreeDelay = 8 * time.Second
)

// cacheTracker tracks which KV-cache parts engines and stores hold, and frees outdated parts.
type cacheTracker struct {
	node       *Node
	index      *kvindex.Index
	watermarks versionWatermarks
}

var _ kvindex.SaltFilter = (*cacheTracker)(nil)

// follow updates the index's engines and stores from the configuration and the fleet until ctx is
// done. A starting node queries the stores first: reading thousands of events from each engine
// takes a small host some hundred ms, and the engines' parts are also at stores.
func (c *cacheTracker) follow(ctx context.Context) error {
	stores := c.stores()
	for ; len(stores) == 0 && ctx.Err() == nil; stores = c.stores() {
		retry.Sleep(ctx, initialFollowInterval)
	}
	c.index.Replace(nil, stores)
	c.awaitReports(ctx)
	c.index.Follow(ctx, nil, stores)
	for ctx.Err() == nil {
		retry.Sleep(ctx, followInterval)
		c.index.Follow(ctx, c.engines(), c.stores())
	}
	c.index.Wait()
	return nil
}

// engines returns the engines whose events this node reads. An engine is left out if all nodes
// together would exceed its limit of concurrent readers; its contents are then estimated from the
// engines to which sessions are assigned.
func (c *cacheTracker) engines() []*kvindex.Holder {
	config, _ := c.node.state.Config()
	if config == nil {
		return nil
	}
	nodes := c.node.nodes()
	var engines []*kvindex.Holder
	for _, m := range c.node.fleet.All() {
		service := config.Service(m.Service)
		if service == nil || service.Engine == nil || nodes > eventReadersOrDefault(service.Engine.MaxEventPolls) {
			continue
		}
		endpoint := m.Endpoint()
		h := kvindex.NewHolder(m.ID, endpoint.Addr, endpoint.Domain)
		h.StartedMs = endpoint.StartedMs
		h.Mbps = service.Engine.LinkMbps
		h.Readers = service.Engine.MaxEventPolls
		engines = append(engines, h)
	}
	return engines
}

// stores returns the configured KV-cache stores.
func (c *cacheTracker) stores() []*kvindex.Holder {
	config, _ := c.node.state.Config()
	if config == nil {
		return nil
	}
	var stores []*kvindex.Holder
	for i := range config.Services {
		s := config.Services[i].Store
		if s == nil {
			continue
		}
		h := kvindex.NewHolder(s.Addr, s.Addr, s.Domain)
		h.Mbps = s.LinkMbps
		h.TransferDelay = s.FirstDelay
		h.Tokens = s.KVTokens
		h.Readers = s.MaxEventPolls
		stores = append(stores, h)
	}
	return stores
}

// intervals returns how long a read of the events of an engine or store waits, and the time between
// the start of two reads. In a large system only a few nodes poll the engine or store.
func (c *cacheTracker) intervals(h *kvindex.Holder) (wait, interval time.Duration) {
	return intervals.EventIntervals(c.node.storeReaderCount(), eventReadersOrDefault(h.Readers))
}

// lateStores returns the stores whose fetches by this node exceed minReportedLatenessMs.
func (c *cacheTracker) lateStores() []peerload.Late {
	var list []peerload.Late
	now := c.node.clock.Now()
	for _, store := range c.index.Stores() {
		if ms := store.Late.MS(now); ms >= minReportedLatenessMs {
			list = append(list, peerload.Late{Addr: store.Addr, MS: int(ms)})
		}
	}
	return list
}

// eventReadersOrDefault returns the number of concurrent event readers that an engine or store
// serves: the configured number, or intervals.MaxMeshNodes if it is not configured.
func eventReadersOrDefault(configured int) int {
	if configured > 0 {
		return configured
	}
	return intervals.MaxMeshNodes
}

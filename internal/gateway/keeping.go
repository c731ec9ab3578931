package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
)

const (
	// followPause is the time between two looks for engines and stores that came
	// or went.
	followPause = 300 * time.Millisecond
	// firstFollowPause is the same at a node that starts, until it knows of stores: callers
	// come at once, and each part that is not known to be kept is read.
	firstFollowPause = 10 * time.Millisecond
	// namingAge is the oldest configuration with which a node counts as knowing which
	// versions are wanted: somewhat more than its age on a calm day. The longer it is, the
	// later outdated parts are freed, whose room new ones need.
	namingAge = 2800 * time.Millisecond
	// staleNaming is the oldest configuration with which a node names parts of the version
	// that it takes for the wanted one. A version that replaced it since is seen elsewhere
	// no sooner than that configuration was current, and freeAfter passes from then. So
	// KV cache is fetched from stores while the metadata store is away for some seconds.
	staleNaming = nameOldFor + namingAge
	// nameOldFor is how long parts of a replaced version are still named, for the
	// engines that have it yet: about as long as a rollout takes.
	nameOldFor = 9 * time.Second
	// freeAfter is how long after a version was replaced its parts are freed: no
	// node names them after nameOldFor from when it saw the new one, which is
	// namingAge late at most, and no fetch lasts longer than placer.FetchLimit.
	freeAfter = nameOldFor + namingAge + placer.FetchLimit + 500*time.Millisecond
	// toldLateMs is the lateness of fetches from which peers are told of it: more than a
	// busy engine makes of a usual first event.
	toldLateMs = 100.0
	// freeRanks and freeSpread let one node after the other look for parts to
	// free, so that most find nothing left.
	freeRanks  = 6
	freeSpread = 400 * time.Millisecond
	// freeOthers is how much later nodes of a large system look that don't stand by.
	// Freeing names each part to its store, which fills a small host's link.
	freeOthers = 8 * time.Second
)

// keeping follows what engines and stores keep, and frees outdated parts.
type keeping struct {
	node  *Node
	index *kept.Index
	named oldestNamed
}

var _ kept.Outdated = (*keeping)(nil)

// follow keeps the index's holders in step with the configuration and the fleet.
// A node that starts asks the stores first: reading thousands of events of each engine takes
// a small host some hundred ms, and engines' parts are at stores, too.
func (k *keeping) follow(ctx context.Context) error {
	stores := k.stores()
	for ; len(stores) == 0 && ctx.Err() == nil; stores = k.stores() {
		retry.Sleep(ctx, firstFollowPause)
	}
	k.index.Replace(nil, stores)
	k.awaitTold(ctx)
	k.index.Follow(ctx, nil, stores)
	for ctx.Err() == nil {
		retry.Sleep(ctx, followPause)
		k.index.Follow(ctx, k.engines(), k.stores())
	}
	k.index.Wait()
	return nil
}

// engines returns the engines to follow: none where all nodes together would ask more
// than an engine lets wait. What engines keep is then guessed from sessions' homes.
func (k *keeping) engines() []*kept.Holder {
	config, _ := k.node.state.Config()
	if config == nil {
		return nil
	}
	nodes := k.node.nodes()
	var engines []*kept.Holder
	for _, m := range k.node.fleet.All() {
		service := config.Service(m.Service)
		if service == nil || service.Engine == nil || nodes > readersOf(service.Engine.EventReaders) {
			continue
		}
		at := m.Endpoint()
		h := kept.NewHolder(m.ID, at.Addr, at.Domain)
		h.Born = at.Born
		h.Mbps = service.Engine.LinkMbps
		h.Readers = service.Engine.EventReaders
		engines = append(engines, h)
	}
	return engines
}

func (k *keeping) stores() []*kept.Holder {
	config, _ := k.node.state.Config()
	if config == nil {
		return nil
	}
	var stores []*kept.Holder
	for i := range config.Services {
		s := config.Services[i].Store
		if s == nil {
			continue
		}
		h := kept.NewHolder(s.Addr, s.Addr, s.Domain)
		h.Mbps = s.LinkMbps
		h.First = s.FirstDelay
		h.Tokens = s.KVTokens
		h.Readers = s.EventReaders
		stores = append(stores, h)
	}
	return stores
}

// pace is how often a holder is asked by this node, which few do for the others in a
// large system.
func (k *keeping) pace(h *kept.Holder) (wait, pause time.Duration) {
	return pace.Events(k.node.storeReaders(), readersOf(h.Readers))
}

// late returns the stores from which this node's fetches come late.
func (k *keeping) late() []peerload.Late {
	var list []peerload.Late
	now := k.node.clock.Now()
	for _, store := range k.index.Stores() {
		if ms := store.Late.MS(now); ms >= toldLateMs {
			list = append(list, peerload.Late{Addr: store.Addr, MS: int(ms)})
		}
	}
	return list
}

// readersOf returns the number of event readers of a holder, or the usual one where the
// configuration doesn't state it.
func readersOf(stated int) int {
	if stated > 0 {
		return stated
	}
	return pace.MeshNodes
}

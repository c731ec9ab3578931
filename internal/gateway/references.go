package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
)

// unreferencedDelay is the time from the last node's statement that it no longer references a
// version until its parts may be freed: the longest fetch that may have started before, plus a
// margin for clock differences.
const unreferencedDelay = placer.FetchLimit + 300*time.Millisecond

// versionFloors records the oldest version of each model whose parts this node references at
// stores. A floor rises once no engine has an older version, and never falls. The zero value is
// ready for use, and it is safe for concurrent use.
type versionFloors struct {
	mu       sync.Mutex
	versions map[string]versionFloor
}

// versionFloor is the oldest referenced version, and the time since which nothing older is
// referenced.
type versionFloor struct {
	version int64
	since   time.Time
}

// raise sets the floor of a model to version if that is higher than the present one.
func (o *versionFloors) raise(model string, version int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.versions == nil {
		o.versions = make(map[string]versionFloor)
	}
	if version > o.versions[model].version {
		o.versions[model] = versionFloor{version: version, since: now}
	}
}

// get returns the floor of a model; the zero value if none was set.
func (o *versionFloors) get(model string) versionFloor {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions[model]
}

// list returns the floors of all models, sorted by model.
func (o *versionFloors) list() []peerload.Named {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]peerload.Named, 0, len(o.versions))
	for model, v := range o.versions {
		list = append(list, peerload.Named{Model: model, Oldest: v.version})
	}
	slices.SortFunc(list, func(a, b peerload.Named) int { return strings.Compare(a.Model, b.Model) })
	return list
}

// referencedFloors returns the oldest version of each model whose parts this node references, after
// raising it to what the engines have loaded. The result is a commitment: other nodes may free
// older parts.
func (k *cacheTracker) referencedFloors() []peerload.Named {
	now := k.node.clock.Now()
	for model, version := range k.minEngineVersions() {
		wanted, _ := k.node.state.Wanted(model)
		k.floors.raise(model, min(version, wanted), now)
	}
	return k.floors.list()
}

// minEngineVersions returns the oldest version of each model that any engine has.
func (k *cacheTracker) minEngineVersions() map[string]int64 {
	versions := make(map[string]int64)
	for _, m := range k.node.fleet.All() {
		for _, w := range m.Endpoint().Weights {
			has := m.VersionOf(w.Model)
			if known, listed := versions[w.Model]; !listed || has < known {
				versions[w.Model] = has
			}
		}
	}
	return versions
}

// configFresh reports whether the configuration is recent enough to know which versions are wanted.
func (k *cacheTracker) configFresh() bool {
	_, age := k.node.state.Config()
	return age < maxFreshConfigAge
}

// mayReference reports whether this node may reference parts of a version at stores.
//
// A part is freed freeDelay after its version was replaced, or once all nodes have committed to no
// longer reference it. A node that saw the replacement promptly stops referencing the old version
// in time by its own clock. A node that saw it late, because it was disconnected or frozen,
// references the wanted version only, and if it remains disconnected, it stops doing so before
// other nodes may free those parts. A node that the others may not count references nothing, since
// they do not wait for its commitment.
func (k *cacheTracker) mayReference(model string, version int64) bool {
	if version < k.floors.get(model).version || !k.node.roster.HoldsLease() {
		return false
	}
	if by, replaced := k.node.state.replaced(model, version); replaced {
		return by.timely && k.node.clock.Since(by.seen) < replacedReferenceTime
	}
	_, age := k.node.state.Config()
	return age < maxReferenceConfigAge
}

// Outdated implements kept.Outdated.
func (k *cacheTracker) Outdated(text string) bool {
	salt, ok := kept.ParseSalt(text)
	if !ok {
		return false
	}
	by, replaced := k.node.state.replaced(salt.Model, salt.Version)
	if !replaced {
		return false
	}
	turn := k.freeStagger()
	return k.node.clock.Since(by.seen) > freeDelay+turn || k.unreferenced(salt.Model, salt.Version, turn)
}

// unreferenced reports whether all nodes have stated long enough ago that they do not reference a
// version. This makes room for the parts of new weights sooner than freeDelay alone: while stores
// are full of parts of the previous version, shared prompt parts are computed again.
func (k *cacheTracker) unreferenced(model string, version int64, turn time.Duration) bool {
	own := k.floors.get(model)
	if !k.node.roster.HoldsLease() {
		return false // its list of the nodes whose commitment is required may be outdated
	}
	if own.version <= version || k.node.clock.Since(own.since) < unreferencedDelay+turn {
		return false
	}
	since, all := k.unreferencedByOthers(model, version)
	return all && k.node.clock.Since(since) >= unreferencedDelay+turn
}

// unreferencedByOthers returns the time since which all other nodes have referenced only newer
// versions; false if not all have. In a large system, the reporter of each failure domain confirms
// this for the nodes of its domain: it must have received their messages itself and know the same
// nodes as this one. A reporter checks the nodes of its own domain itself.
func (k *cacheTracker) unreferencedByOthers(model string, version int64) (since time.Time, all bool) {
	table := k.node.peers.Table
	if pace.Whole(k.node.roster.Nodes()) {
		return table.Unnamed(model, version, k.node.roster.Others())
	}
	for domain, names := range k.node.roster.othersByDomain() {
		said, ok := k.unreferencedInDomain(domain, names, model, version)
		if !ok {
			return time.Time{}, false
		}
		if said.After(since) {
			since = said
		}
	}
	return since, true
}

// unreferencedInDomain is unreferencedByOthers for the nodes of one failure domain of a large
// system.
func (k *cacheTracker) unreferencedInDomain(domain string, names []string, model string, version int64) (since time.Time, all bool) {
	table, roster := k.node.peers.Table, k.node.roster
	members := peerload.MembersOf(names...)
	if domain == roster.own.Domain {
		if since, all = table.Unnamed(model, version, names); all {
			return since, true
		}
		members += peerload.MembersOf(roster.node)
	}
	return table.UnnamedIn(domain, members, model, version)
}

// freeStagger returns the delay of this node's search for parts to free, relative to the first
// node.
func (k *cacheTracker) freeStagger() time.Duration {
	turn := time.Duration(xxhash.Sum64String(k.node.boot.Load().Name)%freeSlots) * freeSlotInterval
	if !k.node.Standby() {
		turn += nonStandbyFreeDelay
	}
	return turn
}

// free frees outdated parts until ctx is done.
func (k *cacheTracker) free(ctx context.Context) error {
	return k.index.Free(ctx, k, k.configFresh, func() bool { return !pace.Whole(k.node.nodes()) })
}

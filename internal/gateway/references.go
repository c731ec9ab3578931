package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
)

// unreferencedDelay is the time from the last node's report that it no longer references a
// version until its parts may be freed: the longest fetch that may have started before, plus a
// margin for clock differences.
const unreferencedDelay = placer.FetchLimit + 300*time.Millisecond

// versionWatermarks records the oldest version of each model whose parts this node references at
// stores. A watermark rises once no engine has an older version, and never falls. The zero value is
// ready for use, and it is safe for concurrent use.
type versionWatermarks struct {
	mu       sync.Mutex
	versions map[string]versionWatermark
}

// versionWatermark is the oldest referenced version, and the time since which nothing older is
// referenced.
type versionWatermark struct {
	version int64
	since   time.Time
}

// raise sets the watermark of a model to version if that is higher than the present one.
func (f *versionWatermarks) raise(model string, version int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions = make(map[string]versionWatermark)
	}
	if version > f.versions[model].version {
		f.versions[model] = versionWatermark{version: version, since: now}
	}
}

// get returns the watermark of a model; the zero value if none was set.
func (f *versionWatermarks) get(model string) versionWatermark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[model]
}

// list returns the watermarks of all models, sorted by model.
func (f *versionWatermarks) list() []peerload.OldestReferenced {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]peerload.OldestReferenced, 0, len(f.versions))
	for model, v := range f.versions {
		list = append(list, peerload.OldestReferenced{Model: model, Oldest: v.version})
	}
	slices.SortFunc(list, func(a, b peerload.OldestReferenced) int { return strings.Compare(a.Model, b.Model) })
	return list
}

// referencedWatermarks returns the oldest version of each model whose parts this node references,
// after raising it to what the engines have loaded. Other nodes may free older parts, since a
// watermark never falls.
func (c *cacheTracker) referencedWatermarks() []peerload.OldestReferenced {
	now := c.node.clock.Now()
	for model, version := range c.minEngineVersions() {
		wanted, _ := c.node.state.Wanted(model)
		c.watermarks.raise(model, min(version, wanted), now)
	}
	return c.watermarks.list()
}

// minEngineVersions returns the oldest version of each model that any engine has.
func (c *cacheTracker) minEngineVersions() map[string]int64 {
	versions := make(map[string]int64)
	for _, m := range c.node.fleet.All() {
		for _, w := range m.Endpoint().Weights {
			version := m.VersionOf(w.Model)
			if lowest, listed := versions[w.Model]; !listed || version < lowest {
				versions[w.Model] = version
			}
		}
	}
	return versions
}

// configFresh reports whether the configuration is recent enough to decide which versions are
// outdated.
func (c *cacheTracker) configFresh() bool {
	_, age := c.node.state.Config()
	return age < maxFreshConfigAge
}

// mayReference reports whether this node may reference parts of a version at stores.
//
// A part is freed freeDelay after its version was replaced, or once the watermarks of all nodes are
// above it. A node that read the replacement promptly stops referencing the old version
// replacedReferenceTime later, by its own clock. A node that read it late, because it was
// disconnected or frozen, references the wanted version only, and if it remains disconnected, it
// stops doing so before other nodes may free those parts. A node that the others possibly do not
// count references nothing, since they do not wait for its watermark. A version that was wanted
// after the node was listed was replaced later, and others confirm the list after a replacement.
func (c *cacheTracker) mayReference(model string, version int64) bool {
	listedSince, listed := c.node.roster.listedSince()
	if version < c.watermarks.get(model).version || !listed || !c.node.roster.HoldsLease() {
		return false
	}
	if by, replaced := c.node.state.replaced(model, version); replaced {
		return by.readPromptly && !by.notBefore.Before(listedSince) && c.node.clock.Since(by.readAt) < replacedReferenceTime
	}
	confirmedAt := c.node.state.confirmedAt.Load()
	return confirmedAt != nil && !confirmedAt.Before(listedSince) && c.node.clock.Since(*confirmedAt) < maxReferenceConfigAge
}

// mayReferenceSalt reports whether this node may reference parts under a salt at stores: their
// version, their residency policy and their sharing key must all allow it.
func (c *cacheTracker) mayReferenceSalt(salt kvindex.Salt) bool {
	now, state := c.node.clock.Now(), c.node.state
	return state.residencies.MayReference(salt.Residency, now) && state.sharings.MayReference(salt.Sharing, now) && c.mayReference(salt.Model, salt.Version)
}

// Outdated implements kvindex.SaltFilter.
func (c *cacheTracker) Outdated(text string) bool {
	salt, ok := kvindex.ParseSalt(text)
	if !ok {
		return false
	}
	now, state, stagger := c.node.clock.Now(), c.node.state, c.freeStagger()
	if state.residencies.Outdated(salt.Residency, now, stagger) || state.sharings.Outdated(salt.Sharing, now, stagger) {
		return true
	}
	by, replaced := state.replaced(salt.Model, salt.Version)
	if !replaced {
		return false
	}
	return c.node.clock.Since(by.readAt) > freeDelay+stagger || c.unreferenced(salt.Model, salt.Version, stagger)
}

// unreferenced reports whether all nodes have reported long enough ago that they do not reference a
// version. This makes room for the parts of new weights sooner than freeDelay alone: while stores
// are full of parts of the previous version, shared prompt parts are computed again. The list of
// nodes must have been current after the version was replaced: a node that joined later references
// only newer ones.
func (c *cacheTracker) unreferenced(model string, version int64, stagger time.Duration) bool {
	own := c.watermarks.get(model)
	if !c.node.roster.HoldsLease() {
		return false // its list of the nodes whose watermark is required may be outdated
	}
	if own.version <= version || c.node.clock.Since(own.since) < unreferencedDelay+stagger {
		return false
	}
	if !c.node.roster.confirmedSince(own.since) {
		return false
	}
	since, all := c.unreferencedByOthers(model, version)
	return all && c.node.clock.Since(since) >= unreferencedDelay+stagger
}

// unreferencedByOthers returns the time since which all other nodes have referenced only newer
// versions; false if not all have. In a large system, the representative of each failure domain
// confirms this for the nodes of its domain: it must have received their messages itself, and its
// list of the domain's nodes must equal this node's. A representative checks the nodes of its own
// domain itself.
func (c *cacheTracker) unreferencedByOthers(model string, version int64) (since time.Time, all bool) {
	table := c.node.peers.Table
	if intervals.FullMesh(c.node.roster.Nodes()) {
		return table.UnreferencedSince(model, version, c.node.roster.Others())
	}
	for domain, names := range c.node.roster.othersByDomain() {
		domainSince, ok := c.unreferencedInDomain(domain, names, model, version)
		if !ok {
			return time.Time{}, false
		}
		if domainSince.After(since) {
			since = domainSince
		}
	}
	return since, true
}

// unreferencedInDomain is unreferencedByOthers for the nodes of one failure domain of a large
// system.
func (c *cacheTracker) unreferencedInDomain(domain string, names []string, model string, version int64) (since time.Time, all bool) {
	table, roster := c.node.peers.Table, c.node.roster
	members := peerload.MembersOf(names...)
	if domain == roster.own.Domain {
		if since, all = table.UnreferencedSince(model, version, names); all {
			return since, true
		}
		members += peerload.MembersOf(roster.node)
	}
	return table.UnreferencedInDomainSince(domain, members, model, version)
}

// freeStagger returns the delay of this node's search for parts to free, relative to the first
// node.
func (c *cacheTracker) freeStagger() time.Duration {
	stagger := time.Duration(xxhash.Sum64String(c.node.boot.Load().Name)%freeSlots) * freeSlotInterval
	if !c.node.Standby() {
		stagger += nonStandbyFreeDelay
	}
	return stagger
}

// free frees outdated parts until ctx is done.
func (c *cacheTracker) free(ctx context.Context) error {
	active := func() bool {
		c.confirmNodes(ctx)
		return c.configFresh()
	}
	return c.index.Free(ctx, c, active, func() bool { return !intervals.FullMesh(c.node.nodes()) })
}

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

// unnamedFor is how long after the last node said that it names a version no more its parts
// may be freed: the longest fetch that it named before, with a margin for clocks.
const unnamedFor = placer.FetchLimit + 300*time.Millisecond

// oldestNamed is the oldest version of each model whose parts this node names at stores. It
// rises once no engine has an older one, and never falls. Its zero value is ready for use, by
// several goroutines at once.
type oldestNamed struct {
	mu       sync.Mutex
	versions map[string]oldest
}

// oldest is a version, and since when nothing older is named.
type oldest struct {
	version int64
	since   time.Time
}

// raise takes a new oldest version, unless it is older than the present one.
func (o *oldestNamed) raise(model string, version int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.versions == nil {
		o.versions = make(map[string]oldest)
	}
	if version > o.versions[model].version {
		o.versions[model] = oldest{version: version, since: now}
	}
}

func (o *oldestNamed) of(model string) oldest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions[model]
}

// all returns the oldest version of each model.
func (o *oldestNamed) all() []peerload.Named {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]peerload.Named, 0, len(o.versions))
	for model, v := range o.versions {
		list = append(list, peerload.Named{Model: model, Oldest: v.version})
	}
	slices.SortFunc(list, func(a, b peerload.Named) int { return strings.Compare(a.Model, b.Model) })
	return list
}

// names returns the oldest weights whose parts this node names, after it looked whether
// engines have moved on. What it returns is a promise: other nodes may free older parts.
func (k *keeping) names() []peerload.Named {
	now := k.node.clock.Now()
	for model, version := range k.oldestAtEngines() {
		wanted, _ := k.node.state.Wanted(model)
		k.named.raise(model, min(version, wanted), now)
	}
	return k.named.all()
}

// oldestAtEngines returns the oldest version of each model that an engine has.
func (k *keeping) oldestAtEngines() map[string]int64 {
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

// fresh reports whether this node knows which versions are wanted.
func (k *keeping) fresh() bool {
	_, age := k.node.state.Config()
	return age < namingAge
}

// mayName reports whether this node may name parts of a version at stores.
//
// A part is freed freeAfter after its version was replaced, or once all nodes promised to
// name it no more. A node that saw the replacement promptly stops naming in time by its own
// clock; one that did not, as it was cut off or frozen, names the wanted version alone. A node
// that is cut off stops naming that one, too, before others may free it. One that the others
// may not count names nothing, as they don't wait for its promise.
func (k *keeping) mayName(model string, version int64) bool {
	if version < k.named.of(model).version || !k.node.roster.Counted() {
		return false
	}
	if by, replaced := k.node.state.replaced(model, version); replaced {
		return by.prompt && k.node.clock.Since(by.seen) < nameOldFor
	}
	_, age := k.node.state.Config()
	return age < staleNaming
}

// Outdated implements kept.Outdated.
func (k *keeping) Outdated(text string) bool {
	salt, ok := kept.ParseSalt(text)
	if !ok {
		return false
	}
	by, replaced := k.node.state.replaced(salt.Model, salt.Version)
	if !replaced {
		return false
	}
	turn := k.turn()
	return k.node.clock.Since(by.seen) > freeAfter+turn || k.unnamed(salt.Model, salt.Version, turn)
}

// unnamed reports whether all nodes have said for long enough that they don't name a version.
//
// It makes room for the parts of new weights sooner than the time alone: stores that are full of those of
// the version before have shared parts be read again.
func (k *keeping) unnamed(model string, version int64, turn time.Duration) bool {
	own := k.named.of(model)
	if !k.node.roster.Counted() {
		return false // its own knowledge of who must promise is old, or may be
	}
	if own.version <= version || k.node.clock.Since(own.since) < unnamedFor+turn {
		return false
	}
	since, all := k.unnamedByOthers(model, version)
	return all && k.node.clock.Since(since) >= unnamedFor+turn
}

// unnamedByOthers returns since when all other nodes have named only newer versions. In a large
// system, nodes are vouched for by the speaker of their failure domain, which heard them itself
// and must know the same ones as this node does. A speaker itself hears those of its own.
func (k *keeping) unnamedByOthers(model string, version int64) (since time.Time, all bool) {
	table := k.node.peers.Table
	if pace.Whole(k.node.roster.Nodes()) {
		return table.Unnamed(model, version, k.node.roster.Others())
	}
	for domain, names := range k.node.roster.othersByDomain() {
		said, ok := k.unnamedIn(domain, names, model, version)
		if !ok {
			return time.Time{}, false
		}
		if said.After(since) {
			since = said
		}
	}
	return since, true
}

// unnamedIn returns the same for the nodes of one failure domain of a large system.
func (k *keeping) unnamedIn(domain string, names []string, model string, version int64) (since time.Time, all bool) {
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

// turn is how much later than the first node this one looks.
func (k *keeping) turn() time.Duration {
	turn := time.Duration(xxhash.Sum64String(k.node.boot.Load().Name)%freeRanks) * freeSpread
	if !k.node.Standby() {
		turn += freeOthers
	}
	return turn
}

// free frees outdated parts until ctx is done.
func (k *keeping) free(ctx context.Context) error {
	return k.index.Free(ctx, k, k.fresh, func() bool { return !pace.Whole(k.node.nodes()) })
}

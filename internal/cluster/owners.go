package cluster

import (
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/rendezvous"
)

// maxCachedKeys is the maximum number of untracked keys whose owner is cached until the
// nodes change. It exceeds the expected number of client accounts and models.
const maxCachedKeys = 4096

// owners determines the owner of each key. It is safe for concurrent use.
type owners struct {
	self string

	mu         sync.RWMutex
	nodes      []rendezvous.Node // sorted by ID
	addrs      map[string]string
	set        *rendezvous.Set
	tracked    *rendezvous.Table
	ownedKeys  map[string]struct{} // tracked keys that self owns
	ownerCache *lru.Cache[string, string]
	changes    uint64
}

func newOwners(self string) *owners {
	set := rendezvous.NewSet(nil)
	ownerCache, _ := lru.New[string, string](maxCachedKeys) // fails only for an invalid size
	return &owners{
		self:       self,
		set:        set,
		tracked:    rendezvous.NewTable(set),
		ownedKeys:  make(map[string]struct{}),
		ownerCache: ownerCache,
	}
}

// update makes the members that accept new work, and whose incarnation is known, the
// possible owners.
func (o *owners) update(view member.View) {
	nodes := make([]rendezvous.Node, 0, len(view.Members))
	addrs := make(map[string]string, len(view.Members))
	for _, m := range view.Members {
		addrs[m.ID] = m.Addr
		known := m.Incarnation != 0 || m.ID == o.self
		if known && (m.State == member.Alive || m.State == member.Suspect) {
			nodes = append(nodes, rendezvous.Node{ID: m.ID, Weight: 1})
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addrs = addrs
	if slices.Equal(nodes, o.nodes) {
		return
	}
	o.nodes = nodes
	o.set = rendezvous.NewSet(nodes)
	o.ownerCache.Purge()
	o.tracked.Update(o.set, o.onMove)
}

func (o *owners) onMove(m rendezvous.Move) {
	switch o.self {
	case m.From:
		delete(o.ownedKeys, m.Key)
		o.changes++
	case m.To:
		o.ownedKeys[m.Key] = struct{}{}
		o.changes++
	}
}

// owner returns the node that owns a key. ok is false before the first update.
func (o *owners) owner(key string) (id, addr string, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if id, ok = o.tracked.Owner(key); !ok {
		id, ok = o.cachedOwner(key)
	}
	return id, o.addrs[id], ok
}

func (o *owners) cachedOwner(key string) (string, bool) {
	if id, ok := o.ownerCache.Get(key); ok {
		return id, true
	}
	id, ok := o.set.Owner(key)
	if ok {
		o.ownerCache.Add(key, id)
	}
	return id, ok
}

func (o *owners) track(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id, _ := o.tracked.Add(key); id == o.self {
		o.ownedKeys[key] = struct{}{}
	}
}

func (o *owners) untrack(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracked.Remove(key)
	delete(o.ownedKeys, key)
}

func (o *owners) owned() []string {
	o.mu.RLock()
	defer o.mu.RUnlock()
	keys := make([]string, 0, len(o.ownedKeys))
	for key := range o.ownedKeys {
		keys = append(keys, key)
	}
	return keys
}

// Track starts tracking the owner of a key, which makes Owner cheap for the key and
// includes it in Owned. It is idempotent.
func (c *Cluster) Track(key string) { c.owners.track(key) }

// Untrack stops tracking a key. It is idempotent.
func (c *Cluster) Untrack(key string) { c.owners.untrack(key) }

// Owned returns the tracked keys that this node owns, in no particular order. Its cost
// depends only on the number of these keys.
func (c *Cluster) Owned() []string { return c.owners.owned() }

// OwnerChanges returns how often a tracked key was assigned to this node or taken from
// it because the nodes changed.
func (c *Cluster) OwnerChanges() uint64 {
	c.owners.mu.RLock()
	defer c.owners.mu.RUnlock()
	return c.owners.changes
}

// Owner returns the node that owns a key according to this node's member view. If the
// view contains no possible owner, it returns this node.
func (c *Cluster) Owner(key string) (id, addr string) {
	id, addr, ok := c.owners.owner(key)
	if !ok {
		return c.self.ID, c.self.Addr
	}
	return id, addr
}

// Owns reports whether this node owns a key.
func (c *Cluster) Owns(key string) bool {
	id, _ := c.Owner(key)
	return id == c.self.ID
}

package rendezvous

import "github.com/cespare/xxhash/v2"

// Table maintains the owners of tracked keys while the node set changes. They are always the
// owners that the current Set returns.
//
// A change of the node set costs one hash of 16 bytes for each pair of key and added node, and
// one lookup in the whole set for each key whose owner was removed. Owner costs a map lookup. A
// Table is not safe for concurrent use.
type Table struct {
	set     *Set
	weights map[string]float64 // of the set's nodes
	indexes map[string]int     // positions of the keys in keys
	keys    []trackedKey
}

// trackedKey is a key and its owner, if it has one.
type trackedKey struct {
	key      string
	hash     uint64
	hasOwner bool
	weight   float64 // of the owner
	owner    candidate
}

// Move is a change of a key's owner. From is empty if the key had no owner before, To if it has
// none now.
type Move struct{ Key, From, To string }

// NewTable returns a table over set that tracks no keys.
func NewTable(set *Set) *Table {
	return &Table{set: set, weights: set.weights(), indexes: make(map[string]int)}
}

// Len returns the number of tracked keys.
func (t *Table) Len() int { return len(t.keys) }

// Owner returns the ID of the node that owns key, or false if the key is not tracked or the set
// is empty. It does not allocate.
func (t *Table) Owner(key string) (string, bool) {
	i, ok := t.indexes[key]
	if !ok {
		return "", false
	}
	return t.keys[i].owner.id, t.keys[i].hasOwner
}

// Add starts tracking a key and returns its owner as Owner does. It is idempotent.
func (t *Table) Add(key string) (string, bool) {
	if _, ok := t.indexes[key]; !ok {
		k := trackedKey{key: key, hash: xxhash.Sum64String(key)}
		k.findOwner(t.set)
		t.indexes[key] = len(t.keys)
		t.keys = append(t.keys, k)
	}
	return t.Owner(key)
}

// Remove stops tracking a key. It is idempotent.
func (t *Table) Remove(key string) {
	i, ok := t.indexes[key]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i] = t.keys[last]
	t.indexes[t.keys[i].key] = i
	t.keys[last] = trackedKey{}
	t.keys = t.keys[:last]
	delete(t.indexes, key)
}

// Update replaces the set and calls moved for each key whose owner has changed.
func (t *Table) Update(set *Set, moved func(Move)) {
	if set == t.set {
		return
	}
	added, removed := t.replaceSet(set)
	for i := range t.keys {
		k := &t.keys[i]
		before := *k
		if !k.hasOwner || removed[k.owner.id] {
			k.findOwner(set)
		} else {
			k.updateOwner(added)
		}
		if k.hasOwner != before.hasOwner || k.owner.id != before.owner.id {
			moved(Move{Key: k.key, From: before.owner.id, To: k.owner.id})
		}
	}
}

// replaceSet stores the set and returns the difference from the previous one. A node whose
// weight has changed is both removed and added.
func (t *Table) replaceSet(set *Set) (added *Set, removed map[string]bool) {
	weights := set.weights()
	removed = make(map[string]bool)
	for id, w := range t.weights {
		if weights[id] != w {
			removed[id] = true
		}
	}
	var nodes []Node
	for id, w := range weights {
		if t.weights[id] != w {
			nodes = append(nodes, Node{ID: id, Weight: w})
		}
	}
	t.set, t.weights = set, weights
	return NewSet(nodes), removed
}

// findOwner selects the owner among all nodes of the set.
func (k *trackedKey) findOwner(set *Set) {
	k.hasOwner, k.weight, k.owner = false, 0, candidate{}
	k.updateOwner(set)
}

// updateOwner replaces the owner if a node of the set ranks above it. Among nodes of the same
// weight, a higher hash means a lower cost, so lower hashes are skipped.
func (k *trackedKey) updateOwner(set *Set) {
	for i := range set.classes {
		c := &set.classes[i]
		for j, nodeHash := range c.hashes {
			h := pairHash(k.hash, nodeHash)
			if c.weight == k.weight && h < k.owner.hash {
				continue
			}
			next := candidate{id: c.ids[j], hash: h, cost: cost(h, c.weight)}
			if !k.hasOwner || next.before(k.owner) {
				k.hasOwner, k.weight, k.owner = true, c.weight, next
			}
		}
	}
}

// weights returns the weight of each node.
func (s *Set) weights() map[string]float64 {
	out := make(map[string]float64, s.size)
	for i := range s.classes {
		for _, id := range s.classes[i].ids {
			out[id] = s.classes[i].weight
		}
	}
	return out
}

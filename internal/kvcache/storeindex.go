package kvcache

import (
	"sync"
	"time"
)

// StoredPrefix is the estimated part of a prompt that a store host has stored.
type StoredPrefix struct {
	Tokens    int   // covered by consecutive blocks from the first
	Blocks    int   // blocks to import, without those that the engine has cached
	Bytes     int64 // size of these blocks
	DiskBytes int64 // part of Bytes that is on the disk tier
}

// storedBlock is one manifest in the index.
type storedBlock struct {
	manifest   Manifest
	key        storeKey
	parent     storeKey
	tier       Tier
	lastUsed   time.Time
	rejections int    // times that an engine read the block and rejected it
	change     uint64 // value of StoreIndex.changes when the block was last added
}

// groupKey holds the fields that many manifests have in common.
type groupKey struct {
	Identity
	layout string
}

// manifestGroup holds the only copy of the strings of a groupKey and the number of
// blocks that use it.
type manifestGroup struct {
	groupKey
	refs int
}

// StoreIndex is the owner's estimate of the manifests published on a store host.
// Safe for concurrent use.
type StoreIndex struct {
	mu      sync.Mutex
	blocks  map[storeKey]*storedBlock
	groups  map[groupKey]*manifestGroup
	bytes   int64
	changes uint64

	listings map[*listing]struct{}
}

// listing is a listing of the store host that is in progress.
type listing struct {
	startChanges uint64                // value of StoreIndex.changes at the start
	removed      map[storeKey]struct{} // keys that the owner has removed since the start
}

// NewStoreIndex returns an empty index.
func NewStoreIndex() *StoreIndex {
	return &StoreIndex{
		blocks:   make(map[storeKey]*storedBlock),
		groups:   make(map[groupKey]*manifestGroup),
		listings: make(map[*listing]struct{}),
	}
}

// Lookup returns the longest prefix of the chain with consecutive manifests of the
// layout. Blocks that end at or before engineTokens are not counted for import.
func (x *StoreIndex) Lookup(chain Chain, layout string, engineTokens int) StoredPrefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	var stored StoredPrefix
	x.walk(chain, layout, func(b *storedBlock) {
		stored.Tokens = b.manifest.EndToken
		if b.manifest.EndToken <= engineTokens {
			return
		}
		stored.Blocks++
		stored.Bytes += b.manifest.Bytes
		if b.tier == TierDisk {
			stored.DiskBytes += b.manifest.Bytes
		}
	})
	return stored
}

// Manifests returns the chain's consecutive manifests of the layout, starting with
// the first.
func (x *StoreIndex) Manifests(chain Chain, layout string) []Manifest {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []Manifest
	x.walk(chain, layout, func(b *storedBlock) { out = append(out, b.fullManifest()) })
	return out
}

// Use sets the last-used time of the chain's blocks, which eviction considers.
func (x *StoreIndex) Use(chain Chain, layout string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.walk(chain, layout, func(b *storedBlock) { b.lastUsed = now })
}

// fullManifest returns the manifest including its keys.
func (b *storedBlock) fullManifest() Manifest {
	m := b.manifest
	m.Key = b.key.String()
	if b.parent != (storeKey{}) {
		m.Parent = b.parent.String()
	}
	return m
}

func (x *StoreIndex) walk(chain Chain, layout string, visit func(*storedBlock)) {
	key := storeKey{layout: layoutTag(layout)}
	for _, at := range chain {
		key.at = at
		for {
			b, ok := x.blocks[key]
			if !ok {
				break
			}
			visit(b)
			key.index++
		}
	}
}

// Add records a published manifest. Manifests whose key does not have the format of
// this package are ignored.
func (x *StoreIndex) Add(m Manifest, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changes++
	x.add(m, now)
}

func (x *StoreIndex) add(m Manifest, now time.Time) {
	key, ok := parseStoreKey(m.Key)
	if !ok {
		return
	}
	parent, hasParent := parseStoreKey(m.Parent)
	if !hasParent {
		parent = storeKey{}
	}
	b := &storedBlock{key: key, parent: parent, lastUsed: now, change: x.changes}
	b.manifest = x.shareStrings(m)
	if old, ok := x.blocks[key]; ok {
		x.removeBlock(old)
		if old.manifest.Name == m.Name {
			b.tier, b.lastUsed, b.rejections = old.tier, old.lastUsed, old.rejections
		}
	}
	x.blocks[key] = b
	x.bytes += m.Bytes
}

// shareStrings replaces the strings that many manifests have in common by those of
// their group. It clears the keys, which the entry stores in binary form.
func (x *StoreIndex) shareStrings(m Manifest) Manifest {
	key := groupKey{m.Identity, m.Layout}
	group, ok := x.groups[key]
	if !ok {
		group = &manifestGroup{groupKey: key}
		x.groups[key] = group
	}
	group.refs++
	m.Identity, m.Layout = group.Identity, group.layout
	m.Key, m.Parent = "", ""
	return m
}

// Remove deletes the manifest of a key if it refers to the named block.
func (x *StoreIndex) Remove(key, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	k, ok := parseStoreKey(key)
	if !ok {
		return
	}
	x.changes++
	for l := range x.listings {
		l.removed[k] = struct{}{}
	}
	if b, ok := x.blocks[k]; ok && b.manifest.Name == name {
		x.removeBlock(b)
	}
}

func (x *StoreIndex) removeBlock(b *storedBlock) {
	delete(x.blocks, b.key)
	x.bytes -= b.manifest.Bytes
	key := groupKey{b.manifest.Identity, b.manifest.Layout}
	group := x.groups[key]
	group.refs--
	if group.refs == 0 {
		delete(x.groups, key)
	}
}

// Clear deletes all entries.
func (x *StoreIndex) Clear() {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.blocks)
	clear(x.groups)
	x.bytes = 0
}

// Len returns the number of manifests and the total size of their blocks in bytes.
func (x *StoreIndex) Len() (manifests int, bytes int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.blocks), x.bytes
}

// countRejection counts an engine's rejection of a block and returns the new count.
func (x *StoreIndex) countRejection(key string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	k, _ := parseStoreKey(key)
	b, ok := x.blocks[k]
	if !ok {
		return 0
	}
	b.rejections++
	return b.rejections
}

// setTiers records the storage tiers of blocks, by block name.
func (x *StoreIndex) setTiers(tiers map[string]Tier) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range x.blocks {
		if tier, ok := tiers[b.manifest.Name]; ok {
			b.tier = tier
		}
	}
}

// startListing registers a listing of the store host. The owner may change the
// index until applyListing. Each listing must be ended with closeListing.
func (x *StoreIndex) startListing() *listing {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := &listing{startChanges: x.changes, removed: make(map[storeKey]struct{})}
	x.listings[l] = struct{}{}
	return l
}

func (x *StoreIndex) closeListing(l *listing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.listings, l)
}

// applyListing replaces the contents by the listed manifests. Manifests that the
// owner has added or removed since the listing started are not changed.
func (x *StoreIndex) applyListing(l *listing, listed []Manifest, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	seen := make(map[storeKey]bool, len(listed))
	for _, m := range listed {
		key, ok := parseStoreKey(m.Key)
		if _, removed := l.removed[key]; !ok || removed {
			continue
		}
		seen[key] = true
		if old, ok := x.blocks[key]; !ok || old.change <= l.startChanges {
			x.add(m, now)
		}
	}
	for key, b := range x.blocks {
		if !seen[key] && b.change <= l.startChanges {
			x.removeBlock(b)
		}
	}
}

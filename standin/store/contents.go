package store

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cherryward/cherryward/api/wire/storewire"
)

// block is a stored block. Its space is reserved when the write starts.
type block struct {
	name      string
	size      int64
	data      []byte
	checksum  string
	complete  bool
	tier      storewire.Tier
	startedAt time.Time // when the write started
}

func (b *block) info() storewire.BlockInfo {
	return storewire.BlockInfo{
		Name:     b.name,
		Bytes:    int64(len(b.data)),
		Checksum: b.checksum,
		Complete: b.complete,
		Tier:     b.tier,
		AgeMS:    time.Since(b.startedAt).Milliseconds(),
	}
}

// contents is the data of a store host. It is guarded by the store's lock.
type contents struct {
	generation   string
	usedNames    map[string]struct{} // all names ever used, including those of deleted blocks
	blocks       map[string]*block
	manifests    map[string]storewire.Manifest
	blockNames   []string // sorted
	manifestKeys []string // sorted
	memory, disk int64    // bytes reserved
}

func newContents(generation string) *contents {
	return &contents{
		generation: generation,
		usedNames:  make(map[string]struct{}),
		blocks:     make(map[string]*block),
		manifests:  make(map[string]storewire.Manifest),
	}
}

// clone returns a copy. It shares the block data, which are never modified in place.
func (c *contents) clone(generation string) *contents {
	out := *c
	out.generation = generation
	out.usedNames = maps.Clone(c.usedNames)
	out.manifests = maps.Clone(c.manifests)
	out.blockNames = slices.Clone(c.blockNames)
	out.manifestKeys = slices.Clone(c.manifestKeys)
	out.blocks = make(map[string]*block, len(c.blocks))
	for name, b := range c.blocks {
		copied := *b
		out.blocks[name] = &copied
	}
	return &out
}

// reserve marks the name as used and reserves space for a block, in memory if possible, for which
// it moves older blocks to disk. It returns nil if no tier has enough space.
func (c *contents) reserve(name string, size int64, cfg Config) *block {
	b := &block{name: name, size: size, tier: storewire.TierMemory, startedAt: time.Now()}
	c.demote(size, cfg)
	switch {
	case c.memory+size <= cfg.MemoryBytes:
		c.memory += size
	case c.disk+size <= cfg.DiskBytes:
		b.tier = storewire.TierDisk
		c.disk += size
	default:
		return nil
	}
	c.usedNames[name] = struct{}{}
	c.blocks[name] = b
	c.blockNames = insertSorted(c.blockNames, name)
	return b
}

// demote moves the oldest blocks to disk until size bytes fit in memory or the disk is full.
func (c *contents) demote(size int64, cfg Config) {
	if size > cfg.MemoryBytes || c.memory+size <= cfg.MemoryBytes {
		return
	}
	var inMemory []*block
	for _, b := range c.blocks {
		if b.tier == storewire.TierMemory {
			inMemory = append(inMemory, b)
		}
	}
	slices.SortFunc(inMemory, func(a, b *block) int {
		return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.name, b.name))
	})
	for _, b := range inMemory {
		if c.memory+size <= cfg.MemoryBytes || c.disk+b.size > cfg.DiskBytes {
			return
		}
		b.tier = storewire.TierDisk
		c.memory -= b.size
		c.disk += b.size
	}
}

// resize releases the reserved space that an interrupted write did not use.
func (c *contents) resize(b *block, size int64) {
	c.account(b.tier, size-b.size)
	b.size = size
}

func (c *contents) account(tier storewire.Tier, by int64) {
	if tier == storewire.TierMemory {
		c.memory += by
		return
	}
	c.disk += by
}

// free deletes a block. Its name stays used.
func (c *contents) free(b *block) {
	c.account(b.tier, -b.size)
	delete(c.blocks, b.name)
	c.blockNames = deleteSorted(c.blockNames, b.name)
}

func (c *contents) putManifest(m storewire.Manifest) {
	c.manifests[m.Key] = m
	c.manifestKeys = insertSorted(c.manifestKeys, m.Key)
}

func (c *contents) deleteManifest(key string) {
	delete(c.manifests, key)
	c.manifestKeys = deleteSorted(c.manifestKeys, key)
}

func insertSorted(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, at, name)
}

func deleteSorted(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, at, at+1)
}

// page returns up to limit names that sort after the name after, and whether more follow.
func page(names []string, after string, limit int) ([]string, bool) {
	at, found := slices.BinarySearch(names, after)
	if found {
		at++
	}
	rest := names[at:]
	if len(rest) <= limit {
		return rest, false
	}
	return rest[:limit], true
}

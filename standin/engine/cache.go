package engine

import "container/list"

// origin holds the model, version, adapter and cache salt that a block was computed with.
type origin struct {
	model, version, adapter, salt string
}

// cacheEntry is a block in memory. It can't be evicted while pinned, the number of runs and
// transfers that use it, is greater than 0.
type cacheEntry struct {
	id     blockID
	from   origin
	pinned int
}

// cache is an LRU cache of blocks. A chain is touched from its tail to its head, so a block is
// always evicted before the blocks that it follows.
type cache struct {
	capacity int
	order    *list.List // of *cacheEntry, most recently used first
	entries  map[blockID]*list.Element
	changed  func(id blockID, removed bool)
}

func newCache(capacity int, changed func(blockID, bool)) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		entries:  make(map[blockID]*list.Element),
		changed:  changed,
	}
}

func (c *cache) get(id blockID) *cacheEntry {
	el, ok := c.entries[id]
	if !ok {
		return nil
	}
	return el.Value.(*cacheEntry)
}

// match returns the length of the longest prefix of ids that is in memory.
func (c *cache) match(ids []blockID) int {
	for i, id := range ids {
		if c.entries[id] == nil {
			return i
		}
	}
	return len(ids)
}

func (c *cache) touch(ids []blockID) {
	for i := len(ids) - 1; i >= 0; i-- {
		if el := c.entries[ids[i]]; el != nil {
			c.order.MoveToFront(el)
		}
	}
}

func (c *cache) pin(ids []blockID, by int) {
	for _, id := range ids {
		if e := c.get(id); e != nil {
			e.pinned += by
		}
	}
}

// insert adds missing blocks from the head of ids until no space can be freed. It returns the
// length of the prefix of ids that is in memory afterwards.
func (c *cache) insert(ids []blockID, from origin) int {
	stored := c.match(ids)
	c.pin(ids[:stored], 1)
	for stored < len(ids) && c.add(ids[stored], from) {
		stored++
	}
	c.pin(ids[:stored], -1)
	c.touch(ids[:stored])
	return stored
}

// add adds and pins a block. It returns false if the cache is full of pinned blocks.
func (c *cache) add(id blockID, from origin) bool {
	if e := c.get(id); e != nil {
		e.pinned++
		return true
	}
	if len(c.entries) >= c.capacity && !c.evict() {
		return false
	}
	c.entries[id] = c.order.PushFront(&cacheEntry{id: id, from: from, pinned: 1})
	c.changed(id, false)
	return true
}

// evict removes the least recently used block that isn't pinned. It returns false if there is
// none.
func (c *cache) evict() bool {
	for el := c.order.Back(); el != nil; el = el.Prev() {
		if el.Value.(*cacheEntry).pinned <= 0 {
			c.remove(el)
			return true
		}
	}
	return false
}

func (c *cache) remove(el *list.Element) {
	id := el.Value.(*cacheEntry).id
	c.order.Remove(el)
	delete(c.entries, id)
	c.changed(id, true)
}

// drop removes all blocks of a model, version and adapter.
func (c *cache) drop(key modelKey) {
	for el := c.order.Back(); el != nil; {
		prev := el.Prev()
		if el.Value.(*cacheEntry).from.key() == key {
			c.remove(el)
		}
		el = prev
	}
}

func (c *cache) used() float64 { return float64(len(c.entries)) / float64(c.capacity) }

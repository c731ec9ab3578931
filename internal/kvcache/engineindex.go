package kvcache

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Block is a complete block of an engine's KV cache. ID is the engine's chained
// hash of the cache salt, model, version, adapter and all tokens up to EndToken.
type Block struct {
	ID       string
	EndToken int
	Bytes    int64
}

// Placement assigns a block to the shortest fingerprinted prefix that covers it.
// Index is the block's position in its chain of blocks, from 0.
type Placement struct {
	At    Fingerprint
	Index int
	Block Block
}

// CachedPrefix is the estimated part of a prompt that an engine has cached.
type CachedPrefix struct {
	Tokens int
	Blocks int
}

// Event records that a block was added to or removed from an engine's cache.
type Event struct {
	Seq     uint64
	Block   string
	Removed bool
}

// blockState is shared by all chunk entries that refer to the block. Conversations
// that diverge within a chunk have separate entries for the block that ends in it.
type blockState struct {
	block  Block
	index  int
	cached bool
	refs   int
}

// chunkEntry holds the state of one fingerprint: the blocks that end in its chunk,
// ordered by index, and the number of tokens up to the end of the chunk. The number
// is known only if a prompt's last complete chunk was this one, and otherwise 0.
type chunkEntry struct {
	tokens int
	blocks []*blockState
}

// EngineIndex is the owner's estimate of the blocks in an engine's cache. It may be
// wrong: the engine decides by its own block ids what is reused. The capacity
// limits its memory. Safe for concurrent use.
type EngineIndex struct {
	mu          sync.Mutex
	capacity    int
	incarnation string
	lastSeq     uint64 // sequence number of the last event read
	synced      bool
	stale       bool // another incarnation was reported since the last Resync; lookups find nothing
	entries     *simplelru.LRU[Fingerprint, *chunkEntry]
	byID        map[string]*blockState
}

// NewEngineIndex returns an empty index of at most capacity blocks and capacity
// fingerprints. Call Resync before the first use.
func NewEngineIndex(capacity int) *EngineIndex {
	x := &EngineIndex{capacity: max(capacity, 1), byID: make(map[string]*blockState)}
	entries, err := simplelru.NewLRU[Fingerprint, *chunkEntry](x.capacity, x.onEvict)
	if err != nil {
		panic(err) // the capacity is positive
	}
	x.entries = entries
	return x
}

// Lookup returns the longest run of consecutive cached blocks, starting with the
// first block of the chain. Tokens is limited to promptTokens unless that is 0.
func (x *EngineIndex) Lookup(chain Chain, promptTokens int) CachedPrefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	var cached CachedPrefix
	x.walkCached(chain, func(_ Fingerprint, state *blockState) {
		cached.Blocks++
		cached.Tokens = state.block.EndToken
	})
	if promptTokens > 0 {
		cached.Tokens = min(cached.Tokens, promptTokens)
	}
	return cached
}

// Placements returns the blocks that Lookup counts, in the form that exports use.
func (x *EngineIndex) Placements(chain Chain) []Placement {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []Placement
	x.walkCached(chain, func(at Fingerprint, state *blockState) {
		out = append(out, Placement{At: at, Index: state.index, Block: state.block})
	})
	return out
}

// walkCached calls visit for the consecutive cached blocks of the chain, starting with
// the first.
func (x *EngineIndex) walkCached(chain Chain, visit func(Fingerprint, *blockState)) {
	if x.stale {
		return
	}
	count := 0
	for _, at := range chain {
		c, ok := x.entries.Peek(at)
		if !ok {
			continue
		}
		for _, state := range c.blocks {
			if state.index < count {
				continue
			}
			if state.index > count || !state.cached {
				return
			}
			visit(at, state)
			count++
		}
	}
}

// NeedsResync reports whether events are missing, the engine was restarted or the
// index is new. The caller must then read the engine's state and call Resync.
func (x *EngineIndex) NeedsResync() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.synced || x.stale
}

// LastSeq returns the sequence number of the last event that the index covers. The
// next read of events starts after it.
func (x *EngineIndex) LastSeq() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastSeq
}

// Resync replaces the estimate by the engine's full state: the ids of all cached
// blocks, and the sequence number of the last event that they reflect. A new
// incarnation clears the index.
func (x *EngineIndex) Resync(incarnation string, last uint64, blocks []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.incarnation != incarnation {
		x.entries.Purge()
	}
	x.incarnation = incarnation
	x.lastSeq = last
	x.synced = true
	x.stale = false
	for _, state := range x.byID {
		state.cached = false
	}
	for _, id := range blocks {
		x.setCached(id, true)
	}
}

// Apply applies cache events, ordered by sequence number. Events that are already
// covered are ignored. After a gap only removals are applied until Resync.
func (x *EngineIndex) Apply(incarnation string, events []Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.checkIncarnation(incarnation) {
		return
	}
	for _, event := range events {
		x.apply(event)
	}
}

// AdvanceTo records that a read of events covered all sequence numbers up to last.
// If the events passed to Apply end before last, some are missing and the index
// needs a Resync.
func (x *EngineIndex) AdvanceTo(incarnation string, last uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.checkIncarnation(incarnation) || last <= x.lastSeq {
		return
	}
	x.synced = false
	x.lastSeq = last
}

func (x *EngineIndex) apply(event Event) {
	if event.Seq <= x.lastSeq {
		return
	}
	if event.Seq > x.lastSeq+1 {
		x.synced = false
	}
	x.lastSeq = event.Seq
	if event.Removed || x.synced {
		x.setCached(event.Block, !event.Removed)
	}
}

// checkIncarnation reports whether the incarnation is that of the index, which is
// that of the last Resync, or before it the first one reported. Any other
// incarnation, older or newer, makes the whole index stale until Resync.
func (x *EngineIndex) checkIncarnation(incarnation string) bool {
	if x.incarnation == "" {
		x.incarnation = incarnation
	}
	if x.incarnation == incarnation {
		return true
	}
	x.stale = true
	return false
}

func (x *EngineIndex) setCached(id string, present bool) {
	if state, ok := x.byID[id]; ok {
		state.cached = present
	}
}

// onEvict releases the blocks of an entry that is removed from the LRU cache.
func (x *EngineIndex) onEvict(_ Fingerprint, c *chunkEntry) {
	for _, state := range c.blocks {
		x.release(state)
	}
	c.blocks = nil
}

func (x *EngineIndex) release(state *blockState) {
	state.refs--
	if state.refs == 0 {
		delete(x.byID, state.block.ID)
	}
}

// put records a block at a fingerprint. It replaces a different block with the same
// index and reports a conflict: one of the two blocks was recorded at a prefix that
// ends before the block does.
func (x *EngineIndex) put(at Fingerprint, index int, block Block) (conflict bool) {
	c, ok := x.entries.Get(at)
	if !ok {
		c = &chunkEntry{}
		x.entries.Add(at, c)
	}
	for i, state := range c.blocks {
		if state.index != index {
			continue
		}
		if state.block.ID == block.ID {
			state.cached = true
			return false
		}
		c.blocks = slices.Delete(c.blocks, i, i+1)
		x.release(state)
		conflict = true
		break
	}
	x.attach(c, index, block)
	return conflict
}

func (x *EngineIndex) attach(c *chunkEntry, index int, block Block) {
	state, ok := x.byID[block.ID]
	if !ok {
		state = &blockState{block: block, index: index}
		x.byID[block.ID] = state
	}
	state.cached = true
	state.refs++
	c.blocks = append(c.blocks, state)
	slices.SortFunc(c.blocks, func(a, b *blockState) int { return a.index - b.index })
	for len(x.byID) > x.capacity && x.entries.Len() > 1 {
		x.entries.RemoveOldest()
	}
}

package policy

import "container/heap"

// Stored is a stored block that may be evicted. Blocks form trees: Parent is the
// key of the preceding block, empty or unknown for the first.
type Stored struct {
	Key     string
	Parent  string
	Account string
	Bytes   int64
	Value   float64 // expected seconds saved by keeping it
}

// PlanEviction selects blocks to evict until need bytes are free and returns their
// keys in order of eviction. It evicts only blocks without children, lowest value
// per byte first; once all children of a block are evicted, the block itself may
// follow. An account is reduced below floor bytes only if no other account has a
// block whose eviction leaves it floor bytes. The result frees less than need bytes
// only if no blocks are left.
func PlanEviction(blocks []Stored, need, floor int64) []string {
	e := newEviction(blocks, floor)
	var keys []string
	for need > 0 {
		block := e.next()
		if block == nil {
			break
		}
		keys = append(keys, block.Key)
		need -= block.Bytes
		e.evict(block)
	}
	return keys
}

type eviction struct {
	byKey          map[string]*Stored
	children       map[string]int
	bytesByAccount map[string]int64
	floor          int64
	leaves         leafHeap // blocks without children
	belowFloor     leafHeap // leaves whose eviction would take the account below the floor
}

func newEviction(blocks []Stored, floor int64) *eviction {
	e := &eviction{
		byKey:          make(map[string]*Stored, len(blocks)),
		children:       make(map[string]int, len(blocks)),
		bytesByAccount: make(map[string]int64),
		floor:          floor,
	}
	for i := range blocks {
		block := &blocks[i]
		e.byKey[block.Key] = block
		e.bytesByAccount[block.Account] += block.Bytes
		if block.Parent != "" {
			e.children[block.Parent]++
		}
	}
	for i := range blocks {
		if e.children[blocks[i].Key] == 0 {
			heap.Push(&e.leaves, &blocks[i])
		}
	}
	return e
}

// next removes and returns the leaf with the lowest value per byte among those whose
// eviction keeps the account at or above the floor; if there is none, the leaf with
// the lowest value per byte of all. It returns nil if no leaves are left.
func (e *eviction) next() *Stored {
	for e.leaves.Len() > 0 {
		block := heap.Pop(&e.leaves).(*Stored)
		if e.bytesByAccount[block.Account]-block.Bytes >= e.floor {
			return block
		}
		heap.Push(&e.belowFloor, block)
	}
	if e.belowFloor.Len() > 0 {
		return heap.Pop(&e.belowFloor).(*Stored)
	}
	return nil
}

func (e *eviction) evict(block *Stored) {
	e.bytesByAccount[block.Account] -= block.Bytes
	parent, ok := e.byKey[block.Parent]
	if !ok {
		return
	}
	e.children[block.Parent]--
	if e.children[block.Parent] == 0 {
		heap.Push(&e.leaves, parent)
	}
}

// leafHeap is a min-heap of blocks without children, ordered by value per byte, then
// by key.
type leafHeap []*Stored

var _ heap.Interface = (*leafHeap)(nil)

func (h leafHeap) Len() int      { return len(h) }
func (h leafHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h leafHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	va, vb := a.Value*float64(b.Bytes), b.Value*float64(a.Bytes)
	if va != vb {
		return va < vb
	}
	return a.Key < b.Key
}

// Push implements heap.Interface.
func (h *leafHeap) Push(x any) { *h = append(*h, x.(*Stored)) }

// Pop implements heap.Interface.
func (h *leafHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

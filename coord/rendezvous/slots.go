package rendezvous

import (
	"math/bits"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Slots maps keys to a fixed number of slots and each slot to its first k nodes by rendezvous
// hashing. The result for a slot is computed on first use and cached, so a lookup costs one
// hash of the key regardless of the size of the set. A change of the node set requires a new
// Slots. Disruption stays minimal, since a slot is a rendezvous key. Slots is safe for
// concurrent use.
//
// The number of slots must be the same in every process and must not depend on the number of
// nodes. The relative deviation of a node's share of the keys from its expected share is about
// sqrt(nodes/(slots*k)); slots*k should be at least 16 times the number of nodes.
type Slots struct {
	set   *Set
	k     int
	shift int                        // slot = key hash >> shift
	top   []atomic.Pointer[[]string] // node IDs of each slot; nil until first use
}

// NewSlots returns Slots over set with count slots, rounded up to a power of two, of k nodes
// each. No slot is computed yet.
func NewSlots(set *Set, count, k int) *Slots {
	width := bits.Len(uint(max(count, 1) - 1))
	return &Slots{
		set:   set,
		k:     k,
		shift: 64 - width,
		top:   make([]atomic.Pointer[[]string], 1<<width),
	}
}

// Top returns the IDs of the first k nodes for the slot of key, best first. The result is
// shared, so the caller must not modify it. It allocates only on the first use of a slot.
func (s *Slots) Top(key string) []string { return s.At(int(xxhash.Sum64String(key) >> s.shift)) }

// Count returns the number of slots.
func (s *Slots) Count() int { return len(s.top) }

// At is Top for the keys of a slot, from 0 to Count less 1. Slots of the same Count map a key to the same
// slot, whatever their sets.
func (s *Slots) At(slot int) []string {
	if top := s.top[slot].Load(); top != nil {
		return *top
	}
	top := s.set.appendTopOfHash(make([]string, 0, min(s.k, s.set.Len())), s.k, uint64(slot))
	s.top[slot].Store(&top)
	return top
}

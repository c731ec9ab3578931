package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// successorCount is the number of successors on the ring among the peers of
	// a node.
	successorCount = 3
	hashBits       = 64
)

// topology selects the peers with which a node exchanges messages.
type topology interface {
	// add and remove maintain the set of members that are not Dead.
	add(r *record)
	remove(r *record)
	// len returns the number of members that are not Dead, including this node.
	len() int
	// nextPeer returns the peer for the next regular exchange, or nil if there
	// is none.
	nextPeer() *record
	// selectPeers returns up to n distinct peers to which to send updates or
	// check requests, in order of preference.
	selectPeers(n int) []*record
}

// ring is a topology with a fixed set of peers, so that connections are reused:
// the next successorCount members in hash order, and the first member at or after
// each power-of-two distance on the ring (the fingers). Adding or removing a
// member changes the peers of few nodes.
type ring struct {
	self    *record
	rng     *rand.Rand
	members []*record
	// dirty is set when successors and fingers must be recomputed.
	dirty      bool
	successors []*record
	fingers    []*record
	// unprobed contains the members that became successors at the last refresh
	// and have not been probed since. They are probed first: when a failure
	// domain stops, the next successor may have stopped too.
	unprobed []*record
	// rotation counts the calls of nextPeer that found no unprobed member. Such a
	// call selects a successor if rotation is odd, and a finger, if there is one,
	// if it is even.
	rotation int
}

var _ topology = (*ring)(nil)

// compareRecords orders records by position on the ring.
func compareRecords(a, b *record) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

func (g *ring) add(r *record) {
	i, found := slices.BinarySearchFunc(g.members, r, compareRecords)
	if !found {
		g.members = slices.Insert(g.members, i, r)
		g.dirty = true
	}
}

func (g *ring) remove(r *record) {
	i, found := slices.BinarySearchFunc(g.members, r, compareRecords)
	if found {
		g.members = slices.Delete(g.members, i, i+1)
		g.dirty = true
	}
}

func (g *ring) len() int { return len(g.members) }

// nextPeer returns the unprobed members first, and then alternates between the
// successors and the fingers.
func (g *ring) nextPeer() *record {
	g.refresh()
	if len(g.unprobed) > 0 {
		r := g.unprobed[0]
		g.unprobed = g.unprobed[1:]
		return r
	}
	g.rotation++
	peers := g.successors
	if g.rotation%2 == 0 && len(g.fingers) > 0 {
		peers = g.fingers
	}
	if len(peers) == 0 {
		return nil
	}
	return peers[g.rotation/2%len(peers)]
}

// selectPeers returns the first successor, followed by the other peers in random
// order. An update that reaches one member thus also reaches the next one on the
// ring.
func (g *ring) selectPeers(n int) []*record {
	g.refresh()
	peers := slices.Concat(g.successors, g.fingers)
	if len(peers) > 0 {
		rest := peers[1:]
		g.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	return peers[:min(n, len(peers))]
}

// refresh recomputes the successors and the fingers if the set of members has
// changed.
func (g *ring) refresh() {
	if !g.dirty {
		return
	}
	g.dirty = false
	previous := g.successors
	g.successors, g.fingers, g.unprobed = nil, nil, nil
	selfIndex, _ := slices.BinarySearchFunc(g.members, g.self, compareRecords)
	n := len(g.members)
	for i := 1; i <= successorCount && i < n; i++ {
		r := g.members[(selfIndex+i)%n]
		g.successors = append(g.successors, r)
		if !slices.Contains(previous, r) {
			g.unprobed = append(g.unprobed, r)
		}
	}
	for bit := hashBits - 1; bit >= 0; bit-- {
		if f := g.successor(g.self.hash + 1<<bit); g.isNewPeer(f) {
			g.fingers = append(g.fingers, f)
		}
	}
}

// successor returns the first member at or after a position on the ring.
func (g *ring) successor(hash uint64) *record {
	i, _ := slices.BinarySearchFunc(g.members, hash, func(r *record, h uint64) int {
		return cmp.Compare(r.hash, h)
	})
	return g.members[i%len(g.members)]
}

// isNewPeer reports whether r is another node and not yet a peer.
func (g *ring) isNewPeer(r *record) bool {
	return r != g.self && !slices.Contains(g.successors, r) && !slices.Contains(g.fingers, r)
}

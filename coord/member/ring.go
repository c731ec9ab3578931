package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// watchCount is the number of successors that a node monitors, and so the
	// number of nodes that monitor it.
	watchCount = 3
	hashBits   = 64
)

// topology selects the peers with which a node exchanges messages.
type topology interface {
	// add and remove maintain the set of members that are not Dead.
	add(r *record)
	remove(r *record)
	len() int
	// nextPeer returns the peer for the next regular exchange, or nil if there
	// is none.
	nextPeer() *record
	// selectPeers returns up to n distinct peers to which to send updates or
	// check requests, in an order that spreads updates well.
	selectPeers(n int) []*record
}

// ring is a topology with a fixed set of peers, so that connections are reused:
// the next watchCount members in hash order, and the first member at or after
// each power-of-two distance on the ring (the fingers). Adding or removing a
// member changes the peers of few nodes.
type ring struct {
	self    *record
	rng     *rand.Rand
	members []*record
	// dirty is set when watched and fingers must be recomputed.
	dirty   bool
	watched []*record
	fingers []*record
	// unprobed contains the watched members that have not been probed yet. They
	// are probed first: when a failure domain stops, the next successor may be
	// dead too.
	unprobed  []*record
	nextCount int
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
// watched members and the fingers.
func (g *ring) nextPeer() *record {
	g.refresh()
	if len(g.unprobed) > 0 {
		r := g.unprobed[0]
		g.unprobed = g.unprobed[1:]
		return r
	}
	g.nextCount++
	peers := g.watched
	if g.nextCount%2 == 0 && len(g.fingers) > 0 {
		peers = g.fingers
	}
	if len(peers) == 0 {
		return nil
	}
	return peers[g.nextCount/2%len(peers)]
}

// selectPeers returns the successor first, so that an update that reaches one
// member also reaches the next one on the ring, and then the other peers in
// random order.
func (g *ring) selectPeers(n int) []*record {
	g.refresh()
	peers := slices.Concat(g.watched, g.fingers)
	if len(peers) > 0 {
		rest := peers[1:]
		g.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	return peers[:min(n, len(peers))]
}

// refresh recomputes the watched members and the fingers if the members have
// changed.
func (g *ring) refresh() {
	if !g.dirty {
		return
	}
	g.dirty = false
	previous := g.watched
	g.watched, g.fingers, g.unprobed = nil, nil, nil
	selfIndex, _ := slices.BinarySearchFunc(g.members, g.self, compareRecords)
	n := len(g.members)
	for i := 1; i <= watchCount && i < n; i++ {
		r := g.members[(selfIndex+i)%n]
		g.watched = append(g.watched, r)
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
	return r != g.self && !slices.Contains(g.watched, r) && !slices.Contains(g.fingers, r)
}

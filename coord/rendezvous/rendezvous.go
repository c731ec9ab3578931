// Package rendezvous assigns keys to nodes by weighted rendezvous (highest random weight)
// hashing.
//
// Guarantees, for node sets with unique IDs:
//
//   - Every process that uses the same set of nodes computes the same owner.
//   - Disruption is minimal: removing a node moves only the keys that it owned, and adding a
//     node moves keys only to it. In a Top result the remaining nodes keep their order.
//   - A node's expected share of the keys is proportional to its weight.
//
// Owner and Top hash the node IDs on every call. A Set hashes them once. Slots caches the
// result for a fixed number of key slots, which makes the cost of a lookup independent of the
// number of nodes. A Table keeps the owners of tracked keys up to date while nodes change.
package rendezvous

import (
	"encoding/binary"
	"iter"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate for ownership.
type Node struct {
	// ID identifies the node; only the ID is hashed.
	ID string
	// Weight is the node's relative share. A node whose weight is not a positive finite number
	// is never selected.
	Weight float64
}

// Owner returns the ID of the node that owns key, or false if no node has a usable weight. It
// does not allocate.
func Owner(key string, nodes []Node) (string, bool) {
	var buf [1]candidate
	best := selectTop(buf[:0], 1, xxhash.Sum64String(key), nodes)
	if len(best) == 0 {
		return "", false
	}
	return best[0].id, true
}

// Top returns the IDs of the first k nodes for key, best first, or fewer if there are fewer
// usable nodes. It allocates only the result if k is at most 16.
func Top(k int, key string, nodes []Node) []string {
	var buf [stackCandidates]candidate
	best := selectTop(buf[:0], k, xxhash.Sum64String(key), nodes)
	return appendIDs(make([]string, 0, len(best)), best)
}

// TopOf is Top for a process that counts itself, with the ID own, among others of equal weight.
func TopOf(k int, key, own string, others iter.Seq[string]) []string {
	nodes := []Node{{ID: own, Weight: 1}}
	for id := range others {
		if id != own {
			nodes = append(nodes, Node{ID: id, Weight: 1})
		}
	}
	return Top(k, key, nodes)
}

// stackCandidates is the largest k for which no heap buffer is needed.
const stackCandidates = 16

// candidate is a node that is considered for a key.
type candidate struct {
	id   string
	hash uint64
	// cost is a sample of the exponential distribution whose rate is the node's weight. The
	// node with the lowest cost owns the key.
	cost float64
}

// before reports whether c ranks above o. Hash and ID break ties, so the order is total.
func (c candidate) before(o candidate) bool {
	if c.cost != o.cost {
		return c.cost < o.cost
	}
	if c.hash != o.hash {
		return c.hash > o.hash
	}
	return c.id < o.id
}

// selectTop returns the best k candidates among nodes, best first. best must be empty and
// provides the buffer.
func selectTop(best []candidate, k int, keyHash uint64, nodes []Node) []candidate {
	for _, n := range nodes {
		if !usableWeight(n.Weight) {
			continue
		}
		h := pairHash(keyHash, xxhash.Sum64String(n.ID))
		best, _ = insert(best, k, candidate{id: n.ID, hash: h, cost: cost(h, n.Weight)})
	}
	return best
}

// insert adds c to best, which is sorted and has at most k entries, if c ranks among the best
// k. It reports whether c was added.
func insert(best []candidate, k int, c candidate) ([]candidate, bool) {
	if len(best) >= k {
		if k <= 0 || !c.before(best[k-1]) {
			return best, false
		}
		best = best[:k-1]
	}
	best = append(best, c)
	for i := len(best) - 1; i > 0 && best[i].before(best[i-1]); i-- {
		best[i], best[i-1] = best[i-1], best[i]
	}
	return best, true
}

func appendIDs(dst []string, best []candidate) []string {
	for _, c := range best {
		dst = append(dst, c.id)
	}
	return dst
}

// usableWeight reports whether a weight is positive and finite.
func usableWeight(weight float64) bool {
	return weight > 0 && !math.IsInf(weight, 1)
}

// pairHash combines the hashes of a key and of a node ID.
func pairHash(keyHash, nodeHash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], keyHash)
	binary.LittleEndian.PutUint64(b[8:], nodeHash)
	return xxhash.Sum64(b[:])
}

// cost maps a uniformly distributed hash to a sample of the exponential distribution with rate
// weight. It decreases as the hash increases.
func cost(hash uint64, weight float64) float64 {
	const scale = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * scale
	return -math.Log(u) / weight
}

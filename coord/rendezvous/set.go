package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set is an immutable set of nodes whose IDs are already hashed. It returns the same results as
// Owner and Top. A lookup costs one hash of 16 bytes per node. It is safe for concurrent use.
type Set struct {
	classes []weightClass
	size    int
}

// weightClass contains the nodes of one weight. Within a class, a higher hash means a lower
// cost, so the logarithm is computed only for nodes that can rank among the best.
type weightClass struct {
	weight float64
	ids    []string
	hashes []uint64
}

// NewSet returns a set of the usable nodes. If an ID occurs more than once, the first
// occurrence is used.
func NewSet(nodes []Node) *Set {
	sorted := make([]Node, 0, len(nodes))
	seen := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		if usableWeight(n.Weight) && !seen[n.ID] {
			sorted = append(sorted, n)
		}
		seen[n.ID] = true
	}
	slices.SortFunc(sorted, func(a, b Node) int { return cmp.Compare(b.Weight, a.Weight) })
	s := &Set{size: len(sorted)}
	for _, n := range sorted {
		s.add(n)
	}
	return s
}

func (s *Set) add(n Node) {
	if len(s.classes) == 0 || s.classes[len(s.classes)-1].weight != n.Weight {
		s.classes = append(s.classes, weightClass{weight: n.Weight})
	}
	c := &s.classes[len(s.classes)-1]
	c.ids = append(c.ids, n.ID)
	c.hashes = append(c.hashes, xxhash.Sum64String(n.ID))
}

// Len returns the number of usable nodes.
func (s *Set) Len() int { return s.size }

// Owner returns the ID of the node that owns key, or false for an empty set.
// It does not allocate.
func (s *Set) Owner(key string) (string, bool) {
	var buf [1]candidate
	best := s.selectTop(buf[:0], 1, xxhash.Sum64String(key))
	if len(best) == 0 {
		return "", false
	}
	return best[0].id, true
}

// AppendTop appends the IDs of the first k nodes for key to dst, best first. If k is at most
// 16, it allocates only to grow dst.
func (s *Set) AppendTop(dst []string, k int, key string) []string {
	return s.appendTopOfHash(dst, k, xxhash.Sum64String(key))
}

// appendTopOfHash does the work of AppendTop for a key whose hash is keyHash.
func (s *Set) appendTopOfHash(dst []string, k int, keyHash uint64) []string {
	var buf [stackCandidates]candidate
	return appendIDs(dst, s.selectTop(buf[:0], k, keyHash))
}

// selectTop returns the best k candidates, best first. best must be empty and provides the
// buffer.
func (s *Set) selectTop(best []candidate, k int, keyHash uint64) []candidate {
	for i := range s.classes {
		best = s.classes[i].mergeInto(best, k, keyHash)
	}
	return best
}

// mergeInto adds the nodes of the class that rank among the best k to best, which is sorted and
// has at most k entries.
func (c *weightClass) mergeInto(best []candidate, k int, keyHash uint64) []candidate {
	// rejectedHash is the highest hash of this class that was too low for the best k.
	var rejectedHash uint64
	for i, nodeHash := range c.hashes {
		h := pairHash(keyHash, nodeHash)
		if h < rejectedHash {
			continue
		}
		var inserted bool
		best, inserted = insert(best, k, candidate{id: c.ids[i], hash: h, cost: cost(h, c.weight)})
		if !inserted {
			rejectedHash = h
		}
	}
	return best
}

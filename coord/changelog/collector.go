package changelog

import (
	"bytes"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// partSetID identifies the set of parts that make up one image.
type partSetID struct {
	mark  int64
	total int
	sum   string
}

// partSet records which parts of a set were read.
type partSet struct {
	partSetID
	seen *bitset.BitSet
	data [][]byte // by index; nil if the collector does not keep data
}

func (s *partSet) complete() bool { return s.seen.Count() == uint(s.total) }

// Maximum numbers of part sets that a collector tracks at once. At the maximum, the
// set with the lowest mark is evicted to add one with a higher mark. A search reads
// the log backwards and finds newer incomplete sets first, so its maximum is higher.
const (
	maxFollowedSets = 4
	maxSearchedSets = 256
)

// collector tracks the parts of checkpoints and detects complete ones.
type collector struct {
	keepData bool
	maxSets  int
	sets     []*partSet
}

func newFollowCollector() collector { return collector{maxSets: maxFollowedSets} }

func newSearchCollector() *collector { return &collector{maxSets: maxSearchedSets, keepData: true} }

// add records a part and returns its set if the part completed it, else nil.
func (c *collector) add(p part) *partSet {
	set := c.findOrAdd(partSetID{p.Mark, p.Total, p.Sum})
	if set == nil || set.seen.Test(uint(p.Index)) {
		return nil
	}
	set.seen.Set(uint(p.Index))
	if c.keepData {
		set.data[p.Index] = p.Data
	}
	if !set.complete() {
		return nil
	}
	return set
}

// find returns the set with the given id, or nil if it is not tracked.
func (c *collector) find(id partSetID) *partSet {
	i := slices.IndexFunc(c.sets, func(s *partSet) bool { return s.partSetID == id })
	if i < 0 {
		return nil
	}
	return c.sets[i]
}

// findOrAdd returns the set with the given id, tracking it if it is new. It
// returns nil if maxSets sets are tracked and none has a lower mark.
func (c *collector) findOrAdd(id partSetID) *partSet {
	if s := c.find(id); s != nil {
		return s
	}
	if len(c.sets) >= c.maxSets && !c.evict(id.mark) {
		return nil
	}
	s := &partSet{partSetID: id, seen: bitset.New(uint(id.total))}
	if c.keepData {
		s.data = make([][]byte, id.total)
	}
	c.sets = append(c.sets, s)
	return s
}

// evict removes the set with the lowest mark if that is below the given mark, and
// reports whether it did.
func (c *collector) evict(mark int64) bool {
	lowest := 0
	for i, s := range c.sets {
		if s.mark < c.sets[lowest].mark {
			lowest = i
		}
	}
	if c.sets[lowest].mark >= mark {
		return false
	}
	c.sets = slices.Delete(c.sets, lowest, lowest+1)
	return true
}

// assemble joins the parts of a complete set. ok is false if the result does not
// match the checksum.
func (s *partSet) assemble() (data []byte, ok bool) {
	data = bytes.Join(s.data, nil)
	return data, imageChecksum(data) == s.sum
}

package peerload

import "slices"

// ownDigestHistory is the number of this node's latest digests whose loads are retained, to
// subtract them from a collector's aggregate. An aggregate includes digests up to
// DigestLifetime old and is itself used for as long, so at the minimum interval up to 107 newer
// digests can follow the included one. Fewer are retained because the included digest is
// usually only a few tens of ms old; if it is older than the history, the oldest retained
// digest is subtracted.
const ownDigestHistory = 32

// ownDigest is the loads of one of this node's digests.
type ownDigest struct {
	seq    uint32
	loads  []Load
	starts []StartTag
}

// RecordOwnDigest retains a digest of this node, so that its loads can be subtracted from the
// aggregates of collectors. collects is true if this node is a collector itself.
func (t *Table) RecordOwnDigest(d *Digest, collects bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = nodeKey(d.Node, d.Incarnation)
	t.isCollector = collects
	if len(t.ownDigests) == ownDigestHistory {
		t.ownDigests = slices.Delete(t.ownDigests, 0, 1)
	}
	t.ownDigests = append(t.ownDigests, &ownDigest{seq: uint32(d.Seq), loads: d.Loads, starts: d.Starts})
}

// ownDigest returns the retained digest of this node with the sequence number, or the oldest
// retained one.
func (t *Table) ownDigest(seq uint32) *ownDigest {
	for i := range t.ownDigests {
		if t.ownDigests[i].seq == seq {
			return t.ownDigests[i]
		}
	}
	if len(t.ownDigests) == 0 {
		return nil
	}
	return t.ownDigests[0]
}

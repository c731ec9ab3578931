package peerload

import (
	"slices"
	"time"
)

// maxPendingNotices is the maximum number of notices that a node retains: those of DigestLifetime at
// the highest rate in a failure domain, with their bursts.
const maxPendingNotices = 1024

// noticeTable holds the recent notices of peers. Table.mu guards it.
type noticeTable struct {
	nodes   map[string]*nodeNotices
	count   int   // number of retained notices
	version int64 // raised by each change

	// cached is the result of pending for the aggregate cachedBase. It is valid for cachedVersion
	// and until cachedUntil, when the first of its notices expires.
	cached        Sums
	cachedBase    *receivedAggregate
	cachedVersion int64
	cachedUntil   time.Time
}

// nodeNotices are the recent notices of one start of a node, in the order of their arrival. They are
// retained for DigestLifetime, also if a report includes them: the next one to be used, from another
// collector, may be older.
type nodeNotices struct {
	incarnation int64
	key         uint32 // identifies the start of the node in aggregates
	list        []receivedNotice
}

// receivedNotice is the prompt of one notice.
type receivedNotice struct {
	seq uint32
	key loadKey
	sum Sum
	at  time.Time
}

// includedIn reports whether a digest with the given number includes the prompt. The numbers may
// wrap around.
func (n *receivedNotice) includedIn(seq uint32) bool { return int32(seq-n.seq) > 0 }

// RecordNotice records a notice of another node.
func (t *Table) RecordNotice(n *Notice, now time.Time) NoticeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.notices.nodes[n.Node]
	if n.Incarnation < t.peers[n.Node].digest.Incarnation || known != nil && n.Incarnation < known.incarnation {
		return NoticeOutdated
	}
	if known != nil && n.Incarnation > known.incarnation {
		t.notices.remove(n.Node)
	}
	if t.notices.count >= maxPendingNotices {
		t.notices.expire(now)
	}
	if t.notices.count >= maxPendingNotices {
		return NoticeExcess
	}
	known = t.notices.nodes[n.Node]
	if known == nil {
		known = t.notices.add(n.Node, n.Incarnation)
	}
	received := receivedNotice{
		seq: uint32(n.Seq), key: keyOf(n.Endpoint, n.Start), at: now,
		sum: Sum{Running: 1, PendingPromptTokens: n.PromptTokens, HeldTokens: n.HeldTokens},
	}
	known.list = append(known.list, received)
	t.notices.count++
	t.notices.version++
	if seq, ok := t.includedSeq(t.bestAggregate(now), n.Node, known, now); ok && received.includedIn(seq) {
		return NoticeIncluded
	}
	return NoticeCounted
}

// add adds a start of a node.
func (n *noticeTable) add(node string, incarnation int64) *nodeNotices {
	if n.nodes == nil {
		n.nodes = make(map[string]*nodeNotices)
	}
	added := &nodeNotices{incarnation: incarnation, key: nodeKey(node, incarnation)}
	n.nodes[node] = added
	return added
}

// remove removes the notices of a node.
func (n *noticeTable) remove(node string) {
	n.count -= len(n.nodes[node].list)
	delete(n.nodes, node)
	n.version++
}

// removeBefore removes a node's notices if they are of an earlier start than the given one.
func (n *noticeTable) removeBefore(node string, incarnation int64) {
	if known := n.nodes[node]; known != nil && known.incarnation < incarnation {
		n.remove(node)
	}
}

// expire removes the notices that are older than DigestLifetime.
func (n *noticeTable) expire(now time.Time) {
	for node, known := range n.nodes {
		expired := 0
		for expired < len(known.list) && now.Sub(known.list[expired].at) > DigestLifetime {
			expired++
		}
		if expired == len(known.list) {
			n.remove(node)
		} else if expired > 0 {
			known.list = slices.Delete(known.list, 0, expired)
			n.count -= expired
			n.version++
		}
	}
}

// includedSeq returns the number of the node's digest that the given aggregate includes, or without
// an aggregate that of the node's own digest. It returns false if there is none of this start of the
// node.
func (t *Table) includedSeq(base *receivedAggregate, node string, n *nodeNotices, now time.Time) (seq uint32, ok bool) {
	if base != nil {
		return base.includedSeq(n.key)
	}
	p, known := t.peers[node]
	if !known || p.digest.Incarnation != n.incarnation || now.Sub(p.at) > DigestLifetime {
		return 0, false
	}
	return uint32(p.digest.Seq), true
}

// pendingNotices returns the sums of the notices that the base of Loads doesn't include yet: the
// given aggregate, or without one the peers' own digests. The result must not be modified. It is
// cached because Loads is called at each placement.
func (t *Table) pendingNotices(base *receivedAggregate, now time.Time) Sums {
	n := &t.notices
	if n.count == 0 {
		return nil
	}
	if base != nil && n.cachedBase == base && n.cachedVersion == n.version && !now.After(n.cachedUntil) {
		return n.cached
	}
	n.expire(now)
	sums, until := make(Sums), now.Add(DigestLifetime)
	for node, known := range n.nodes {
		seq, ok := t.includedSeq(base, node, known, now)
		for i := range known.list {
			if notice := &known.list[i]; !ok || !notice.includedIn(seq) {
				sums[notice.key] = sums[notice.key].plus(notice.sum)
				if expires := notice.at.Add(DigestLifetime); expires.Before(until) {
					until = expires
				}
			}
		}
	}
	n.cached, n.cachedBase, n.cachedVersion, n.cachedUntil = sums, base, n.version, until
	return sums
}

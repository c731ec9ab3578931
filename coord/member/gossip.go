package member

import (
	"math/bits"
	"slices"
)

// queueUpdate queues an update about a member for gossip. An urgent update is
// also sent separately, by flushUrgent.
func (c *core) queueUpdate(r *record, urgent bool) {
	r.sendCount = 0
	if !r.inUpdateQueue {
		r.inUpdateQueue = true
		c.updateQueue = slices.Insert(c.updateQueue, 0, r)
	}
	if urgent && !r.inUrgentUpdates {
		r.inUrgentUpdates = true
		c.urgentUpdates = append(c.urgentUpdates, r)
		c.prioritizeLeave()
	}
}

// prioritizeLeave moves the newest urgent update to the front if the member is
// leaving, because LeaveBound is the shortest of the time bounds.
func (c *core) prioritizeLeave() {
	last := len(c.urgentUpdates) - 1
	r := c.urgentUpdates[last]
	if r.leaving {
		copy(c.urgentUpdates[1:], c.urgentUpdates[:last])
		c.urgentUpdates[0] = r
	}
}

// maxSends is the limit on sendCount at which an update is removed from the
// queue. It grows with the logarithm of the number of members.
func (c *core) maxSends() int {
	return bits.Len(uint(c.topo.len())) + 2
}

// appendUpdates appends the updates at the front of the queue, at most
// maxUpdates. It moves them to the back of the queue, and removes updates whose
// sendCount has reached maxSends.
func (c *core) appendUpdates(entries []Entry) []Entry {
	var requeued []*record
	examined, sent := 0, 0
	for ; examined < len(c.updateQueue) && sent < maxUpdates; examined++ {
		r := c.updateQueue[examined]
		if r.sendCount >= c.maxSends() {
			r.inUpdateQueue = false
			continue
		}
		entries = append(entries, r.updateEntry())
		r.sendCount++
		sent++
		requeued = append(requeued, r)
	}
	c.updateQueue = append(slices.Delete(c.updateQueue, 0, examined), requeued...)
	return entries
}

// flushUrgent sends urgent updates to flushFanout peers, at most once per
// flushInterval and within the rate limit.
func (c *core) flushUrgent() {
	if len(c.urgentUpdates) == 0 || c.now.Sub(c.lastFlush) < flushInterval {
		return
	}
	if !c.flushLimit.AllowN(c.now, flushFanout) {
		return
	}
	c.lastFlush = c.now
	n := min(maxUpdates, len(c.urgentUpdates))
	updates := slices.Clone(c.urgentUpdates[:n])
	c.urgentUpdates = slices.Delete(c.urgentUpdates, 0, n)
	for _, r := range updates {
		r.inUrgentUpdates = false
	}
	remaining := flushFanout
	for _, p := range c.topo.selectPeers(c.topo.len()) {
		if remaining > 0 && p.pending < maxPending {
			c.send(p, sendOptions{updates: updates, retries: 1, ignoreFailure: true})
			remaining--
		}
	}
	for _, r := range updates {
		r.sendCount += flushFanout - remaining
	}
}

// updateDigest recomputes the digest of a record and updates the digests of its
// bucket and of the view.
func (c *core) updateDigest(r *record) {
	d := r.computeDigest()
	c.bucketDigests[r.bucket()] ^= r.digest ^ d
	c.digest ^= r.digest ^ d
	r.digest = d
}

// handleDigestMismatch requests a comparison of bucket digests from the peer.
// It does so only if this view has not changed for syncQuietPeriod, in which
// case gossip is unlikely to resolve the difference, or if the mismatch has
// lasted for syncMismatchTimeout.
func (c *core) handleDigestMismatch(r *record) {
	if c.mismatchSince.IsZero() {
		c.mismatchSince = c.now
	}
	quiet := c.now.Sub(c.lastChange) >= syncQuietPeriod
	overdue := c.now.Sub(c.mismatchSince) >= syncMismatchTimeout
	if (quiet || overdue) && r.pending < maxPending && c.syncLimit.AllowN(c.now, 1) {
		c.stats.Syncs++
		c.send(r, sendOptions{sync: true, ignoreFailure: true})
	}
}

// compareBuckets fills the response to a digest comparison with the indices of
// the buckets that differ and with the records in these buckets.
func (c *core) compareBuckets(peerDigests []uint32, resp *Message) {
	c.stats.Syncs++
	for i, d := range peerDigests {
		if d != c.bucketDigests[i] {
			resp.DifferingBuckets = append(resp.DifferingBuckets, i)
		}
	}
	resp.Entries = c.appendBucketEntries(resp.Entries, resp.DifferingBuckets)
}

// appendBucketEntries appends the records in the given buckets, at most
// maxSyncEntries. It starts at a random member, so that repeated comparisons
// eventually transfer every record.
func (c *core) appendBucketEntries(entries []Entry, buckets []int) []Entry {
	var selected [bucketCount]bool
	for _, b := range buckets {
		if b >= 0 && b < bucketCount {
			selected[b] = true
		}
	}
	start, remaining := c.rng.IntN(len(c.records)), maxSyncEntries
	for i := range c.records {
		r := c.records[(start+i)%len(c.records)]
		if remaining == 0 || !selected[r.bucket()] || r == c.self {
			continue
		}
		remaining--
		if r.dead {
			entries = append(entries, r.deadEntry())
			continue
		}
		entries = append(entries, r.selfReportEntry())
	}
	return entries
}

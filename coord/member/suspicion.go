package member

import (
	"slices"
	"time"
)

// markUnreachable adds this node to the observers that could not reach the
// member. If the suspicion is not confirmed yet, it requests checks from other
// peers.
func (c *core) markUnreachable(r *record) {
	c.stats.FailedProbes++
	c.addObservers(r, c.self.id)
	if !r.confirmed() {
		r.suspicion.deadline = c.now.Add(suspicionTimeout)
		r.suspicion.replacements = 0
		c.requestChecks(r, peersPerCheck)
	}
}

// addObservers adds observers to the suspicion of a live member, creating the
// suspicion if necessary. It confirms the suspicion once there are enough
// observers.
func (c *core) addObservers(r *record, observers ...string) {
	if r.suspicion == nil {
		r.suspicion = &suspicion{deadline: c.now.Add(suspicionTimeout)}
		c.suspects = append(c.suspects, r)
	}
	for _, o := range observers {
		r.suspicion.addObserver(o)
	}
	if !r.suspicion.confirmed && len(r.suspicion.observers) >= c.quorum() {
		c.confirmSuspicion(r)
	}
}

// quorum returns the number of observers that confirm a suspicion: two, or one
// if there is no other member to request a check from.
func (c *core) quorum() int {
	if c.topo.len() <= 2 {
		return 1
	}
	return 2
}

// confirmSuspicion makes the member Suspect and starts its refutation window.
func (c *core) confirmSuspicion(r *record) {
	r.suspicion.confirmed = true
	r.suspicion.deadline = c.now.Add(refutationWindow)
	c.stats.Confirmed++
	c.markChanged()
	c.queueUpdate(r, true)
}

// requestChecks requests a probe of the member from n peers, starting with those
// whose last message is the most recent.
func (c *core) requestChecks(r *record, n int) {
	peers := c.topo.selectPeers(c.topo.len())
	slices.SortStableFunc(peers, func(a, b *record) int { return b.lastContact.Compare(a.lastContact) })
	for _, p := range peers {
		if n == 0 {
			return
		}
		if p != r && p.pending < maxPending && p.suspicion == nil {
			c.send(p, sendOptions{checkTarget: r, ignoreFailure: true})
			n--
		}
	}
}

// requestReplacementCheck requests a check from another peer after a peer could
// not be reached, at most maxReplacements times for each failed probe.
func (c *core) requestReplacementCheck(r *record) {
	if r.suspicion != nil && !r.suspicion.confirmed && r.suspicion.replacements < maxReplacements {
		r.suspicion.replacements++
		c.requestChecks(r, 1)
	}
}

// mergeSuspicion merges a Suspect entry. The observers count if the entry has
// the incarnation of the record and the same or a higher Seq. An entry with
// another incarnation that is newer than the record only queues a probe of the
// member.
func (c *core) mergeSuspicion(r *record, e *Entry) {
	if r.incarnation == 0 {
		// The member is known only from the roster, so this view contains no
		// incarnation of it yet and adopts that of the entry.
		r.incarnation, r.seq = e.Incarnation, e.Seq
		c.updateDigest(r)
		c.markChanged()
	}
	if r.incarnation != e.Incarnation {
		if r.olderThan(e.Incarnation, e.Seq) {
			c.queueProbe(r)
		}
		return
	}
	if r.seq < e.Seq {
		r.seq = e.Seq
		c.clearSuspicion(r)
		c.updateDigest(r)
		c.markChanged()
	}
	if r.seq == e.Seq {
		c.addObservers(r, e.Observers...)
	}
}

// mergeDeadReport merges a Dead entry. If this node already suspects the member,
// the sender counts as an observer; otherwise a probe of the member is queued.
// An entry older than the record is ignored.
func (c *core) mergeDeadReport(r *record, e *Entry, sender string) {
	sameReport := r.incarnation == e.Incarnation && r.seq == e.Seq
	switch {
	case !sameReport && !r.olderThan(e.Incarnation, e.Seq):
	case r.suspicion != nil:
		c.addObservers(r, sender)
	default:
		c.queueProbe(r)
	}
}

// queueProbe queues a probe of a member, unless one is already queued or
// maxQueuedProbes is reached.
func (c *core) queueProbe(r *record) {
	if len(c.probeQueue) < maxQueuedProbes && !slices.Contains(c.probeQueue, r) {
		c.probeQueue = append(c.probeQueue, r)
	}
}

// clearSuspicion ends the suspicion of the member, if there is one.
func (c *core) clearSuspicion(r *record) {
	if r.suspicion == nil {
		return
	}
	if r.confirmed() && !r.dead {
		c.markChanged()
	}
	r.suspicion = nil
	c.suspects = withoutRecord(c.suspects, r)
}

// expireSuspicions marks members as dead whose refutation window has ended, and
// discards suspicions that were not confirmed in time.
func (c *core) expireSuspicions() {
	for _, r := range slices.Clone(c.suspects) {
		switch {
		case c.now.Before(r.suspicion.deadline):
		case r.suspicion.confirmed:
			c.markDead(r)
		default:
			c.clearSuspicion(r)
		}
	}
}

// markDead marks a member as dead. The suspicion is kept, because queued updates
// report it to peers.
func (c *core) markDead(r *record) {
	r.dead = true
	r.deadSince = c.now
	c.suspects = withoutRecord(c.suspects, r)
	c.deadMembers = append(c.deadMembers, r)
	c.topo.remove(r)
	c.updateDigest(r)
	c.stats.Deaths++
	c.markChanged()
}

// markAlive marks a dead member as live again.
func (c *core) markAlive(r *record) {
	r.dead = false
	r.deadSince = time.Time{}
	c.deadMembers = withoutRecord(c.deadMembers, r)
	c.topo.add(r)
	c.stats.Recoveries++
}

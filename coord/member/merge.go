package member

// mergeEntry merges an entry about a member that the sender transmitted. It
// discards invalid entries.
func (c *core) mergeEntry(e *Entry, sender string) {
	if !e.valid() {
		c.stats.Refused++
		return
	}
	if e.ID == c.self.id {
		c.mergeOwnEntry(e)
		return
	}
	r := c.byID[e.ID]
	switch {
	case e.State == Alive || e.State == Leaving:
		c.mergeSelfReport(r, e)
	case r == nil || r.dead:
	case e.State == Suspect:
		c.mergeSuspicion(r, e)
	default:
		c.mergeDeadReport(r, e, sender)
	}
}

// mergeSelfReport merges an entry in which a member described itself as Alive
// or Leaving. r is nil if the member is unknown here.
func (c *core) mergeSelfReport(r *record, e *Entry) {
	switch {
	case e.Incarnation == 0:
	case r == nil:
		c.addUnlisted(e)
	case e.Addr == "" && r.incarnation != 0 && r.incarnation != e.Incarnation:
		// The update omits the address, and this node has not received the
		// address of this incarnation yet.
	case r.incarnation == e.Incarnation && r.seq >= e.Seq:
		c.countDuplicate(r, e)
		c.mergeLeaving(r, e)
	case r.olderThan(e.Incarnation, e.Seq):
		c.updateRecord(r, e)
	}
}

// addUnlisted adds a member that is not on the roster. It discards the entry if
// it has no address or if the limit on such members is reached.
func (c *core) addUnlisted(e *Entry) {
	if e.Addr == "" || len(c.sorted)-c.listed >= unlistedBase+c.listed/listedPerUnlisted {
		c.stats.Refused++
		return
	}
	r := newRecord(e.ID)
	c.applyEntry(r, e)
	c.insert(r)
	c.queueUpdate(r, true)
}

// updateRecord applies a newer self-report. It clears any suspicion and marks a
// dead member as live again.
func (c *core) updateRecord(r *record, e *Entry) {
	wasDown := r.dead || r.confirmed()
	wasLeaving := r.leaving
	c.applyEntry(r, e)
	c.clearSuspicion(r)
	if r.dead {
		c.markAlive(r)
	}
	c.updateDigest(r)
	c.markChanged()
	c.queueUpdate(r, wasDown || r.leaving && !wasLeaving)
}

// applyEntry copies a newer self-report to the record. An incarnation that is
// Leaving stays so.
func (c *core) applyEntry(r *record, e *Entry) {
	r.sameIncarnation = r.incarnation == e.Incarnation
	keepLeaving := r.sameIncarnation && r.leaving
	r.incarnation, r.seq = e.Incarnation, e.Seq
	r.leaving = keepLeaving || e.State == Leaving
	if e.Addr != "" {
		r.addr, r.domain = e.Addr, e.Domain
	}
}

// countDuplicate counts the receipt of an update that is queued here as one
// transmission of it, so that an update that all nodes know is removed from the
// queues early.
func (c *core) countDuplicate(r *record, e *Entry) {
	if r.queued && r.seq == e.Seq && r.leaving == (e.State == Leaving) {
		r.sendCount++
	}
}

// mergeLeaving marks a live member as leaving if the entry says so. The entry
// can have the same Seq as the record, because another node may have read the
// leave from the roster.
func (c *core) mergeLeaving(r *record, e *Entry) {
	if e.State == Leaving && !r.leaving && !r.dead {
		c.setLeaving(r)
	}
}

// setLeaving marks a member as leaving and queues an urgent update.
func (c *core) setLeaving(r *record) {
	r.leaving = true
	c.updateDigest(r)
	c.markChanged()
	c.queueUpdate(r, true)
}

// mergeOwnEntry processes an entry about this node. It refutes a Suspect or
// Dead entry by raising its Seq. It also raises its Seq above that of another
// incarnation of its ID that is Leaving, or that is reported within
// startupWindow and is therefore assumed to be the previous process of this
// node. A newer incarnation reported later belongs to another process and
// supersedes this one.
func (c *core) mergeOwnEntry(e *Entry) {
	s := c.self
	sameIncarnation := e.Incarnation == s.incarnation
	if sameIncarnation && e.State == Leaving && !s.leaving {
		c.setLeaving(s)
	}
	if e.Seq < s.seq || e.Incarnation == 0 {
		return
	}
	down := e.State == Suspect || e.State == Dead
	switch {
	case sameIncarnation && !down && e.Seq == s.seq:
	case sameIncarnation || down || e.State == Leaving || c.now.Sub(c.started) < startupWindow:
		s.sameIncarnation = sameIncarnation
		c.raiseSeq(e.Seq + 1)
	case s.olderThan(e.Incarnation, e.Seq) && !c.superseded:
		c.superseded = true
		c.markChanged()
	}
}

// raiseSeq sets this node's Seq to seq, at most maxSeq, and queues an urgent
// update.
func (c *core) raiseSeq(seq uint32) {
	c.self.seq = min(seq, maxSeq)
	c.stats.Refutations++
	c.updateDigest(c.self)
	c.markChanged()
	c.queueUpdate(c.self, true)
}

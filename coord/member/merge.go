package member

// mergeEntry merges one entry of a message from the given sender. It discards
// invalid entries.
func (c *core) mergeEntry(e *Entry, sender string) {
	if !e.valid() {
		c.stats.Rejected++
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
// or Leaving. r is nil if this view does not contain the member.
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
		c.applySelfReport(r, e)
	}
}

// addUnlisted adds a member that is not on the roster. It discards the entry if
// it has no address or if the limit on such members is reached.
func (c *core) addUnlisted(e *Entry) {
	if e.Addr == "" || len(c.records)-c.listedCount >= unlistedBase+c.listedCount/listedPerUnlisted {
		c.stats.Rejected++
		return
	}
	r := newRecord(e.ID)
	c.copySelfReport(r, e)
	c.insert(r)
	c.queueUpdate(r, true)
}

// applySelfReport applies a member's newer report about itself. It clears any
// suspicion and marks a dead member as live again.
func (c *core) applySelfReport(r *record, e *Entry) {
	wasDown := r.dead || r.confirmed()
	wasLeaving := r.leaving
	c.copySelfReport(r, e)
	c.clearSuspicion(r)
	if r.dead {
		c.markAlive(r)
	}
	c.updateDigest(r)
	c.markChanged()
	c.queueUpdate(r, wasDown || r.leaving && !wasLeaving)
}

// copySelfReport copies the fields of a member's newer report about itself to
// the record. A leaving incarnation stays Leaving.
func (c *core) copySelfReport(r *record, e *Entry) {
	r.omitAddr = r.incarnation == e.Incarnation
	keepLeaving := r.omitAddr && r.leaving
	r.incarnation, r.seq = e.Incarnation, e.Seq
	r.leaving = keepLeaving || e.State == Leaving
	if e.Addr != "" {
		r.addr, r.domain = e.Addr, e.Domain
	}
}

// countDuplicate counts the receipt of an update that this node has queued as
// one transmission of it, so that an update that all nodes have received is
// removed from the queues early.
func (c *core) countDuplicate(r *record, e *Entry) {
	if r.inUpdateQueue && r.seq == e.Seq && r.leaving == (e.State == Leaving) {
		r.sendCount++
	}
}

// mergeLeaving marks a live member as leaving if the entry is Leaving. The entry
// can have the same Seq as the record, because another node may have marked the
// member as leaving on account of the roster, which does not change Seq.
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

// mergeOwnEntry processes an entry about this node's ID. If the entry has this
// node's incarnation and is Leaving, the node is marked as leaving. Apart from
// this, an entry with a lower Seq than the node's is ignored.
//
// The node raises its Seq above the entry's if the entry is Suspect or Dead (to
// refute it), if it has this incarnation with a higher Seq, or if it has another
// incarnation that is Leaving. During the first startupWindow it does so for any
// other incarnation, which is probably the previous process of this node. Later,
// a newer incarnation belongs to another process and supersedes this node.
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
		s.omitAddr = sameIncarnation
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

package member

import (
	"slices"
	"time"
)

// removeExpiredDead removes the members that are not on the roster and have
// been dead for deadRetention.
func (c *core) removeExpiredDead() {
	for _, r := range slices.Clone(c.deadMembers) {
		if !r.listed && c.now.Sub(r.deadSince) >= deadRetention {
			c.removeRecord(r)
		}
	}
}

// setRoster applies a new roster from the platform. A member that is no longer
// listed is shown as Leaving as long as it responds; one that is known only from
// the roster is removed immediately.
func (c *core) setRoster(now time.Time, roster []RosterEntry) {
	c.now = now
	listedIDs := make(map[string]bool, len(roster))
	for i := range roster {
		e := &roster[i]
		entry := Entry{ID: e.ID, Addr: e.Addr, Domain: e.Domain}
		if !entry.valid() || listedIDs[e.ID] {
			c.stats.Rejected++
			continue
		}
		listedIDs[e.ID] = true
		c.mergeRosterEntry(e)
	}
	c.listedCount = len(listedIDs)
	for _, r := range slices.Clone(c.records) {
		if r.listed && !listedIDs[r.id] {
			c.delist(r)
		}
	}
	c.removeExpiredDead()
	c.flushUrgent()
}

// mergeRosterEntry merges one entry of the roster. While a member is live, the
// address in its own reports takes precedence over the address on the roster.
func (c *core) mergeRosterEntry(e *RosterEntry) {
	r := c.byID[e.ID]
	if r == nil {
		r = newRecord(e.ID)
		r.addr, r.domain, r.rosterAddr = e.Addr, e.Domain, e.Addr
		c.insert(r)
	}
	if r.rosterAddr != e.Addr {
		r.rosterAddr = e.Addr
		if r.dead || r.incarnation == 0 {
			r.addr, r.domain = e.Addr, e.Domain
			c.markChanged()
		}
	}
	if !r.listed || r.rosterLeaving != e.Leaving {
		c.markChanged()
	}
	r.listed, r.delisted, r.rosterLeaving = true, false, e.Leaving
	if e.Leaving && r.incarnation != 0 && !r.leaving && !r.dead {
		c.setLeaving(r)
	}
}

// delist processes the removal of a member from the roster. A member that is
// known only from the roster is removed immediately; any other live member is
// probed.
func (c *core) delist(r *record) {
	c.markChanged()
	if r.incarnation == 0 && !r.dead {
		c.removeRecord(r)
		return
	}
	r.listed, r.delisted = false, true
	if !r.dead && r != c.self {
		c.queueProbe(r)
	}
}

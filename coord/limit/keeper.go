package limit

import (
	"slices"
	"time"
)

// Keeper manages this node's parts of the accounts' pools and leases each part
// to at most one lender at a time. It is not safe for concurrent use.
type Keeper struct {
	settings Settings
	self     NodeID
	keepers  func(account string) []NodeID
	rates    partTable
	runs     partTable
}

// NewKeeper returns the keeper of node self. keepers returns the nodes that
// keep an account's parts; it must depend on the roster only, never on which
// nodes appear to be alive. A keeper grants no lease during the first part lease
// after its start, because leases granted by an earlier incarnation may still
// be valid.
func NewKeeper(now time.Time, settings Settings, self NodeID, keepers func(account string) []NodeID) *Keeper {
	return &Keeper{
		settings: settings,
		self:     self,
		keepers:  keepers,
		rates:    newPartTable(now, settings.PartLease()+settings.Drift),
		runs:     newPartTable(now, settings.RunPartLease()+settings.Drift),
	}
}

// Handle processes a lender's request and returns the grant. A repeated request
// has no effect and is granted nothing.
func (k *Keeper) Handle(now time.Time, req PartRequest) PartGrant {
	grant := PartGrant{From: k.self, Seq: req.Seq}
	for _, account := range req.Release {
		k.rates.release(now, account, req)
		k.runs.release(now, account, req)
	}
	for _, account := range req.Acquire {
		if !k.keeps(account) {
			continue
		}
		if idle, ok := k.rates.acquire(now, account, req); ok {
			idle = min(idle, k.settings.Burst)
			grant.Parts = append(grant.Parts, Part{Account: account, Idle: millis(idle)})
		}
	}
	for _, account := range req.AcquireRuns {
		if !k.keeps(account) {
			continue
		}
		if _, ok := k.runs.acquire(now, account, req); ok {
			grant.RunParts = append(grant.RunParts, account)
		}
	}
	return grant
}

// keeps reports whether this node is a keeper of account.
func (k *Keeper) keeps(account string) bool {
	return slices.Contains(k.keepers(account), k.self)
}

// RemoveExpired removes the state of parts whose lease ended so long ago that a new
// entry would behave the same. Call it every few seconds.
func (k *Keeper) RemoveExpired(now time.Time) {
	k.rates.removeExpired(now, k.settings.Burst)
	k.runs.removeExpired(now, 0)
}

// partTable holds the parts of one kind (rates or run slots) that are leased or
// whose lease ended recently, by account.
type partTable struct {
	lease time.Duration
	// readyAt is the time by which all leases of an earlier incarnation have
	// expired.
	readyAt time.Time
	parts   map[string]*keeperPart
}

// keeperPart is a part that is or was leased to holder until the time in until.
type keeperPart struct {
	holder Incarnation
	seq    uint64
	until  time.Time
}

func newPartTable(now time.Time, lease time.Duration) partTable {
	return partTable{lease: lease, readyAt: now.Add(lease), parts: map[string]*keeperPart{}}
}

// acquire leases one part to the sender of req or renews its lease. It returns
// how long the part was not leased before. ok is false if the keeper has not
// been running for one lease, another lender holds the part, or req is older
// than the latest request of the holder.
func (t *partTable) acquire(now time.Time, account string, req PartRequest) (idle time.Duration, ok bool) {
	if now.Before(t.readyAt) {
		return 0, false
	}
	part, known := t.parts[account]
	if !known {
		part = &keeperPart{until: t.readyAt}
		t.parts[account] = part
	}
	if now.Before(part.until) && part.holder != req.From {
		return 0, false
	}
	if part.holder == req.From && req.Seq <= part.seq {
		return 0, false
	}
	idle = max(now.Sub(part.until), 0)
	part.holder = req.From
	part.seq = req.Seq
	part.until = now.Add(t.lease)
	return idle, true
}

// release ends the lease of one part, unless the holder renewed the lease after
// it sent req.
func (t *partTable) release(now time.Time, account string, req PartRequest) {
	part, known := t.parts[account]
	if !known || part.holder != req.From || req.Seq <= part.seq || !now.Before(part.until) {
		return
	}
	part.seq = req.Seq
	part.until = now
}

// removeExpired removes the parts whose lease ended longer ago than retention
// plus one lease.
func (t *partTable) removeExpired(now time.Time, retention time.Duration) {
	for account, part := range t.parts {
		if now.Sub(part.until) > retention+t.lease {
			delete(t.parts, account)
		}
	}
}

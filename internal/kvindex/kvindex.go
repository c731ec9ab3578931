// Package kvindex records which parts of prompts are kept as KV cache, at which engines and stores.
//
// The record is built from events that arrive late and are sometimes lost, so it may list too much
// or too little. Errors cost time only: an engine computes a part that it doesn't find. There are
// two exceptions: a store's part that is freed while it is fetched, which Free prevents by freeing
// only parts that its SaltFilter reports as outdated; and a part that is fetched while it is being
// saved again to a restarted store, which AcceptsSaves prevents by delaying such saves.
package kvindex

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Part identifies a part of a prompt, under the salt with which it is kept.
type Part struct {
	Salt string `json:"salt"`
	ID   string `json:"id"`
}

// Change is one event: the number of tokens of a part that are kept after it, 0 if the part was
// removed.
type Change struct {
	Number int64 `json:"number"` // of the event; ascending within an epoch
	Part   Part  `json:"part"`
	Tokens int   `json:"tokens"`
}

// Events is a batch of changes at one holder, the response to a request for events.
type Events struct {
	Epoch        int64 // changes when the holder restarts, which empties it
	Next         int64 // number from which to request next
	Gap          bool  // some of the requested events are no longer retained
	SnapshotPage *Page // if set, Changes is a page of a snapshot, for a node without any state of the holder
	Changes      []Change
	Undecoded    int   // number of events that could not be decoded; not in Changes
	ClockMS      int64 // the engines' shared clock
	// ConfirmedAt is a time at which the holder was certainly in this epoch: just before the request
	// was sent to the holder, or earlier if another node relayed the events. Zero means the time
	// at which the events are applied.
	ConfirmedAt time.Time
	// SavesIn is the remaining time in which nothing may be sent to the holder, if another node
	// relayed a snapshot.
	SavesIn time.Duration
}

// Source requests events from engines and stores and frees parts. Its calls are idempotent.
type Source interface {
	// Events returns the events from a number on, waiting up to wait for the first one.
	Events(ctx context.Context, addr string, since int64, wait time.Duration) (Events, error)
	// Free removes parts from a store.
	Free(ctx context.Context, addr string, order FreeOrder) error
}

// Holder is an engine or a store that keeps parts. It is safe for concurrent use.
type Holder struct {
	ID            string // engine id, or the address of a store
	StartedMs     int64  // start time of an engine, Unix milliseconds; 0 if unknown
	Addr          string
	Domain        string  // failure domain
	Mbps          float64 // link bandwidth
	TransferDelay time.Duration
	Tokens        int // capacity of a store; 0 for an engine
	// Readers is the number of requests for events that are pending at the holder; 0 if unknown.
	Readers int
	// relayedUntil is the time until which relayed updates replace requests; nil if there were none.
	relayedUntil atomic.Pointer[time.Time]
	// Late is the delay of this node's fetches from the holder beyond the expected time.
	Late Lateness

	mu               sync.Mutex
	epoch            int64
	next             int64
	parts            map[Part]int
	salts            map[string]int     // number of parts under each salt
	used             int                // tokens in parts
	pendingSaves     map[Part]time.Time // parts that this node sent to the store, unconfirmed, with the send time
	unreachable      bool               // the last request failed
	epochConfirmedAt time.Time          // when the epoch was last confirmed
	// savesAllowedAt is the time from which parts may be sent to a store.
	savesAllowedAt time.Time
	recent         journal          // changes to relay to other nodes
	cachedSnapshot snapshot         // cached snapshot for nodes that start
	progress       snapshotProgress // progress of a snapshot relayed by another node
}

// NewHolder returns a holder without any recorded parts.
func NewHolder(id, addr, domain string) *Holder {
	return &Holder{
		ID: id, Addr: addr, Domain: domain,
		parts: make(map[Part]int), salts: make(map[string]int), pendingSaves: make(map[Part]time.Time),
	}
}

// Has returns the number of tokens of the part that the holder keeps.
func (h *Holder) Has(p Part) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts[p]
}

// Reachable reports whether the last request to the holder succeeded.
func (h *Holder) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unreachable
}

// relayRemaining returns the time until relayed updates of the holder expire.
func (h *Holder) relayRemaining(now time.Time) time.Duration {
	until := h.relayedUntil.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// removePart records that a part was freed, ahead of the event that confirms it.
func (h *Holder) removePart(p Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(p, 0)
}

const (
	// saveTimeout is how long an event is awaited for a part that was sent to a store, before the
	// part may be sent again.
	saveTimeout = 4 * time.Second
	// maxPendingSaves is the number of unconfirmed saves at which those older than
	// pendingSaveLifetime are discarded.
	maxPendingSaves     = 2000
	pendingSaveLifetime = 30 * time.Second
)

// BeginSave reports whether a part should be sent to the store, and if so records its save.
func (h *Holder) BeginSave(p Part, tokens int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.parts[p] > 0 || !h.acceptsSavesLocked(now) || h.used+tokens > h.Tokens {
		return false
	}
	if sent, pending := h.pendingSaves[p]; pending && now.Sub(sent) < saveTimeout {
		return false
	}
	if len(h.pendingSaves) >= maxPendingSaves {
		maps.DeleteFunc(h.pendingSaves, func(_ Part, sent time.Time) bool { return now.Sub(sent) >= pendingSaveLifetime })
	}
	h.pendingSaves[p] = now
	return true
}

// SaveOverdue reports whether a part was sent to the store at least saveTimeout ago and no event has
// confirmed it. The store usually has it: it emits one event for each part, and a lost event is
// not repeated. A part whose transfer was interrupted keeps its room in the store, which rejects
// it from then on.
func (h *Holder) SaveOverdue(p Part, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent, known := h.pendingSaves[p]
	return known && now.Sub(sent) >= saveTimeout
}

// FreeTokens returns the free capacity of a store in tokens, not counting saves in progress.
func (h *Holder) FreeTokens() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Tokens - h.used
}

// CancelSave discards the record of a save whose request did not run.
func (h *Holder) CancelSave(p Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pendingSaves, p)
}

// apply applies a batch of events.
func (h *Holder) apply(e *Events, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.ConfirmedAt.IsZero() {
		e.ConfirmedAt = now
	}
	if e.SnapshotPage != nil {
		h.applyPage(e, now)
		return
	}
	h.unreachable = false
	if h.progress.Pages > 0 {
		h.clearParts() // the holder sends its full state, and the relayed pages may be older
	}
	firstResponse := h.epoch == 0
	h.confirmEpoch(e, now)
	if e.Epoch != h.epoch {
		h.epoch = e.Epoch
		if h.next > 0 {
			h.resetEpoch()
			return
		}
	}
	h.recent.record(h.next, e)
	h.next = e.Next
	h.applyChanges(e.Changes)
	if firstResponse && (e.Gap || len(h.parts) > 0) {
		h.savesAllowedAt = now
	}
}

// applyChanges applies changes, and ends the saves of the changed parts.
func (h *Holder) applyChanges(changes []Change) {
	for _, c := range changes {
		h.set(c.Part, c.Tokens)
		delete(h.pendingSaves, c.Part)
	}
}

// resetEpoch clears the state of the former epoch. Events are numbered from the start again, so all
// of them are requested. It isn't called for the first response, when there is no state to clear
// and saves may be in progress.
func (h *Holder) resetEpoch() {
	h.clearParts()
	clear(h.pendingSaves)
	h.recent = journal{}
	h.next = 0
}

// clearParts clears the recorded parts, but not the saves in progress.
func (h *Holder) clearParts() {
	clear(h.parts)
	clear(h.salts)
	h.used = 0
	h.progress = snapshotProgress{}
}

// set records the number of tokens of a part that the holder keeps; 0 removes the part.
func (h *Holder) set(p Part, tokens int) {
	before, known := h.parts[p]
	h.used += tokens - before
	switch {
	case tokens > 0:
		h.parts[p] = tokens
		if !known {
			h.salts[p.Salt]++
		}
	case known:
		delete(h.parts, p)
		if h.salts[p.Salt]--; h.salts[p.Salt] == 0 {
			delete(h.salts, p.Salt)
		}
	}
}

// nextEvent returns the number of the next event to request.
func (h *Holder) nextEvent() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// markUnreachable records that a request failed. It reports whether the previous one succeeded.
func (h *Holder) markUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasReachable := !h.unreachable
	h.unreachable = true
	return wasReachable
}

// partsMatching returns the parts whose salts match, the largest first, and the epoch in which
// they were kept. It tests each salt once, not each part: there are few salts and many parts, and
// most calls match none.
func (h *Holder) partsMatching(match func(salt string) bool) (parts []Part, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	matching := make(map[string]bool)
	for salt := range h.salts {
		if match(salt) {
			matching[salt] = true
		}
	}
	if len(matching) == 0 {
		return nil, h.epoch
	}
	for p := range h.parts {
		if matching[p.Salt] {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(h.parts[b], h.parts[a]), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Salt, b.Salt))
	})
	return parts, h.epoch
}

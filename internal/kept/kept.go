// Package kept knows which parts of prompts are kept as KV cache, at which engines
// and stores.
//
// What it knows comes from events that are late and sometimes lost, so it may be
// wrong either way. Nothing rests on its being right but time: an engine reads what
// it doesn't find. The one exception is a store's part that is freed while it is
// fetched, which the rule of Outdated guards against.
package kept

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Part is a part of a prompt under the salt that it is kept with.
type Part struct {
	Salt string `json:"salt"`
	ID   string `json:"id"`
}

// Change is one event: how many tokens of a part are kept now, 0 for none.
type Change struct {
	Number int64 `json:"number"` // of the event, rising within an epoch
	Part   Part  `json:"part"`
	Tokens int   `json:"tokens"`
}

// Events are what changed at one holder since a number.
type Events struct {
	Epoch   int64 // changes when the holder restarts, which empties it
	Next    int64 // to ask from next time
	Gap     bool  // older events are no longer there
	Whole   *Page // Changes are a part of all that is kept, for a node that knows nothing of it yet
	Changes []Change
	Unread  int   // events that could not be read, which are not among Changes
	ClockMS int64 // the engines' clock, which all share
	// ProvenAt is when the holder was certainly in this epoch: before it, or the node that was told
	// so, was asked. Zero is when they are taken.
	ProvenAt time.Time
	// SavesIn is how much longer nothing is to be sent there, where another node tells all that is
	// kept.
	SavesIn time.Duration
}

// Source asks engines and stores what they keep. Its calls may be repeated.
type Source interface {
	// Events returns the events since a number, waiting up to wait for the first.
	Events(ctx context.Context, addr string, since int64, wait time.Duration) (Events, error)
	// Free removes parts from a store in the given epoch.
	Free(ctx context.Context, addr string, parts []Part, epoch int64) error
}

// Holder is an engine or a store that keeps parts. It is safe for concurrent use.
type Holder struct {
	ID     string // of an engine; a store's address
	Born   int64  // start of an engine, Unix milliseconds; 0 if not said
	Addr   string
	Domain string  // failure domain
	Mbps   float64 // of its link
	First  time.Duration
	Tokens int // that a store has room for; 0 for an engine
	// Readers is the number of questions for events that wait there at once; 0 if not
	// known.
	Readers int
	// relayed is until when another node's word stands in for questions; nil for never.
	relayed atomic.Pointer[time.Time]
	// Late is how much later this node's fetches from here ended than expected.
	Late Lateness

	mu     sync.Mutex
	epoch  int64
	next   int64
	parts  map[Part]int
	salts  map[string]int     // number of parts under each salt
	used   int                // tokens in parts
	saving map[Part]time.Time // that this node had sent to a store
	lost   bool               // the last question failed
	proven time.Time          // when it was certainly in this epoch
	// savesFrom is from when on parts may be sent to a store.
	savesFrom time.Time
	recent    journal  // what other nodes may ask for
	told      snapshot // what nodes that start were told last
	copied    copied   // what another node told of a snapshot so far
}

// NewHolder returns a holder of which nothing is known yet.
func NewHolder(id, addr, domain string) *Holder {
	return &Holder{
		ID: id, Addr: addr, Domain: domain,
		parts: make(map[Part]int), salts: make(map[string]int), saving: make(map[Part]time.Time),
	}
}

// Has returns the number of tokens of a part that are kept.
func (h *Holder) Has(p Part) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts[p]
}

// Reachable reports whether the holder answered the last question.
func (h *Holder) Reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lost
}

// relayedFor returns how much longer another node's word on what the holder keeps stands.
func (h *Holder) relayedFor(now time.Time) time.Duration {
	until := h.relayed.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// forget notes that a part was freed, before its event tells.
func (h *Holder) forget(p Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(p, 0)
}

const (
	// savePatience is how long a part that was sent to a store is waited for before it
	// is sent again.
	savePatience = 4 * time.Second
	// mostSaves is the number of parts that this node had sent and that were not told of since,
	// from which those sent longer ago than savesFor are forgotten.
	mostSaves = 2000
	savesFor  = 30 * time.Second
)

// BeginSave reports whether a part should be sent to the store, and notes that it
// is.
func (h *Holder) BeginSave(p Part, tokens int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.parts[p] > 0 || !h.saves(now) || h.used+tokens > h.Tokens {
		return false
	}
	if sent, under := h.saving[p]; under && now.Sub(sent) < savePatience {
		return false
	}
	if len(h.saving) >= mostSaves {
		maps.DeleteFunc(h.saving, func(_ Part, sent time.Time) bool { return now.Sub(sent) >= savesFor })
	}
	h.saving[p] = now
	return true
}

// Missed reports whether a part was sent to the store and should have been told of by now. Mostly it is
// there: a store tells of each part once, and of one whose event was lost nobody hears again. One that
// broke off on its way keeps its room there and is taken no more.
func (h *Holder) Missed(p Part, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent, known := h.saving[p]
	return known && now.Sub(sent) >= savePatience
}

// Room returns how many tokens a store has room for yet, without saves under way.
func (h *Holder) Room() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Tokens - h.used
}

// DropSave notes that a part is not on its way to the store, as the request that was to send
// it did not run.
func (h *Holder) DropSave(p Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.saving, p)
}

// apply takes a batch of events.
func (h *Holder) apply(e *Events, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.ProvenAt.IsZero() {
		e.ProvenAt = now
	}
	if e.Whole != nil {
		h.copyPage(e, now)
		return
	}
	h.lost = false
	if h.copied.Pages > 0 {
		h.clearParts() // the holder itself tells all, and what was told so far may be older
	}
	first := h.epoch == 0
	h.prove(e, now)
	if e.Epoch != h.epoch {
		h.epoch = e.Epoch
		if h.next > 0 {
			h.restarted()
			return
		}
	}
	h.recent.note(h.next, e)
	h.next = e.Next
	h.setAll(e.Changes)
	if first && (e.Gap || len(h.parts) > 0) {
		h.savesFrom = now
	}
}

// setAll notes what is kept of parts now. A save of them is no longer under way.
func (h *Holder) setAll(changes []Change) {
	for _, c := range changes {
		h.set(c.Part, c.Tokens)
		delete(h.saving, c.Part)
	}
}

// restarted forgets what was kept. Events are numbered anew, so all are asked for. On
// the first contact there is nothing to forget, and saves may be under way already.
func (h *Holder) restarted() {
	h.clearParts()
	clear(h.saving)
	h.recent = journal{}
	h.next = 0
}

// clearParts forgets what is kept, but not what was sent to be saved.
func (h *Holder) clearParts() {
	clear(h.parts)
	clear(h.salts)
	h.used = 0
	h.copied = copied{}
}

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

func (h *Holder) since() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// failed notes that a question was not answered. It reports whether the one before
// was.
func (h *Holder) failed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.lost
	h.lost = true
	return first
}

// under returns the parts under salts that match, of which there are few, the largest first, and the
// epoch in which they were kept. Most looks find none, and there are many more parts than salts.
func (h *Holder) under(match func(salt string) bool) (parts []Part, epoch int64) {
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

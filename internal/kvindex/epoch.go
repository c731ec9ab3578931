package kvindex

import "time"

const (
	// FetchTimeout is the maximum duration of a fetch from a store.
	FetchTimeout = 1500 * time.Millisecond
	// referenceWindow is how long a part may be referenced as the source of a fetch after its
	// store's epoch was last confirmed. An events request waits up to 0.8 s, the next one starts
	// 0.25 s later, and its response reaches other nodes after another 0.5 s.
	referenceWindow = 2500 * time.Millisecond
	// maxFetchTime is the maximum time from referencing a part to the end of its fetch, with a
	// margin for clock differences.
	maxFetchTime = FetchTimeout + 300*time.Millisecond
	// emptyStoreDelay is how long no part is sent to a store after this node saw that it is empty.
	emptyStoreDelay = referenceWindow + maxFetchTime
)

// A store that restarts loses its parts, but nodes that have not yet seen the restart still
// reference it as a source of fetches. Fetching a missing part is harmless, because the engine then
// computes it, but a part that is being saved again would be fetched although it is incomplete.
// Therefore no node saves to a restarted store until all nodes have stopped referencing its former
// parts: a node references a part only for referenceWindow after it last confirmed the part's
// epoch, which was before the restart. A node that starts waits in the same way for a store that is
// empty.

// confirmEpoch updates the time at which the holder's epoch was last confirmed. If the events
// start a new epoch, it delays saves by emptyStoreDelay.
func (h *Holder) confirmEpoch(e *Events, now time.Time) {
	if e.Epoch != h.epoch {
		h.epochConfirmedAt = time.Time{}
		h.savesAllowedAt = now.Add(emptyStoreDelay)
	}
	if h.epochConfirmedAt.Before(e.ConfirmedAt) {
		h.epochConfirmedAt = e.ConfirmedAt
	}
}

// ConfirmedRecently reports whether parts of the store may be referenced as the source of a fetch:
// the store is reachable and its epoch was confirmed less than referenceWindow ago.
func (h *Holder) ConfirmedRecently(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unreachable && now.Sub(h.epochConfirmedAt) < referenceWindow
}

// AcceptsSaves reports whether parts may be sent to the store.
func (h *Holder) AcceptsSaves(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acceptsSavesLocked(now)
}

func (h *Holder) acceptsSavesLocked(now time.Time) bool {
	return !h.unreachable && !now.Before(h.savesAllowedAt)
}

// sinceConfirmed returns the time since the holder's epoch was last confirmed, and the remaining
// time until parts may be sent to it.
func (h *Holder) sinceConfirmed(now time.Time) (age, savesIn time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.epochConfirmedAt), max(h.savesAllowedAt.Sub(now), 0)
}

package kept

import "time"

const (
	// FetchLimit is the longest time that a fetch from a store may take.
	FetchLimit = 1500 * time.Millisecond
	// namedFor is how long after a store was certainly in the epoch in which it kept a part the part
	// is named for a fetch: a question that waits for events takes up to 0.8 s, the next one begins
	// 0.25 s later, and other nodes hear of its answer after 0.5 s.
	namedFor = 2500 * time.Millisecond
	// fetchTime is the longest time from when a part is named until its fetch has ended, with a
	// margin for clocks.
	fetchTime = FetchLimit + 300*time.Millisecond
	// emptyFor is how long after this node has seen a store empty no part is sent there.
	emptyFor = namedFor + fetchTime
)

// A store that restarts has lost its parts, and whoever doesn't know that yet has them fetched from it:
// parts that are missing are read, but one that is being saved anew is taken though it isn't whole. So
// nobody saves to a store that was seen to restart until everybody else has stopped naming what it had:
// each names a part only for namedFor after the store was certainly in that part's epoch, which was
// before the restart. A node that starts waits in the same way for a store that keeps nothing.

// prove notes when the holder was certainly in the epoch of its events, and waits with saves where that
// begins.
func (h *Holder) prove(e *Events, now time.Time) {
	if e.Epoch != h.epoch {
		h.proven = time.Time{}
		h.savesFrom = now.Add(emptyFor)
	}
	if h.proven.Before(e.ProvenAt) {
		h.proven = e.ProvenAt
	}
}

// Names reports whether what a store keeps may be named for a fetch: it was certainly in the same epoch
// shortly before.
func (h *Holder) Names(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lost && now.Sub(h.proven) < namedFor
}

// Saves reports whether parts may be sent to a store.
func (h *Holder) Saves(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.saves(now)
}

func (h *Holder) saves(now time.Time) bool { return !h.lost && !now.Before(h.savesFrom) }

// ages returns how long ago the holder was certainly in its epoch, and how much longer nothing is to
// be sent there.
func (h *Holder) ages(now time.Time) (proven, savesIn time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.proven), max(h.savesFrom.Sub(now), 0)
}

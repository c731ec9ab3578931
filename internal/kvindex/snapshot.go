package kvindex

import "time"

const (
	// partsPerPage is the number of parts in a page of a snapshot. A page takes about 4 KB, and a
	// message holds two.
	partsPerPage = 400
	// maxSnapshotLag is the number of events by which a cached snapshot may be out of date. It is
	// large enough that most nodes receive all pages of the same snapshot, for which they need
	// about 0.1 s, and small enough that they receive the changes since then within a few seconds.
	maxSnapshotLag = 60
)

// snapshot lists all parts that a store kept just before event next, split into pages.
//
// Pages are not compressed: ids are packed as bytes, so DEFLATE makes them no shorter, and on a
// small host it takes longer than the request timeout of other nodes.
type snapshot struct {
	epoch int64
	next  int64
	pages []packedChanges // nil if there is no snapshot, else at least one
}

// Page is the position of a page in a snapshot. All pages together list everything that is kept.
type Page struct {
	Number int `json:"number"` // from 0
	Of     int `json:"of"`
}

// snapshotProgress is the progress of receiving a snapshot.
type snapshotProgress struct {
	Epoch int64 `json:"epoch"`
	Next  int64 `json:"next"`
	Pages int   `json:"pages"` // number of leading pages received
}

// snapshot returns what the holder keeps, for a node without any state of it, and false if this
// node doesn't have that state. The snapshot is cached, so that it is built once for many nodes
// that start together. It may lack a few events, which the journal provides.
func (h *Holder) snapshot() (snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable || !h.recent.started {
		return snapshot{}, false
	}
	if cached := h.cachedSnapshot; cached.pages != nil && cached.epoch == h.epoch && cached.next >= max(h.recent.first, h.next-maxSnapshotLag) {
		return cached, true
	}
	parts := make([]Change, 0, len(h.parts))
	for part, tokens := range h.parts {
		parts = append(parts, Change{Part: part, Tokens: tokens})
	}
	h.cachedSnapshot = snapshot{epoch: h.epoch, next: h.next, pages: splitPages(parts)}
	return h.cachedSnapshot, true
}

// splitPages splits the parts into pages, at least one.
func splitPages(parts []Change) (pages []packedChanges) {
	for len(pages) == 0 || len(parts) > 0 {
		n := min(len(parts), partsPerPage)
		pages, parts = append(pages, packChanges(parts[:n])), parts[n:]
	}
	return pages
}

// nextPage returns the number of the next page for a node with the given progress.
func (s *snapshot) nextPage(progress *snapshotProgress) int {
	if progress == nil || progress.Epoch != s.epoch || progress.Next != s.next || progress.Pages < 0 || progress.Pages >= len(s.pages) {
		return 0
	}
	return progress.Pages
}

// applyPage applies a page of a snapshot. The first page starts over, and after the last one the
// holder's state is complete. Pages out of sequence are dropped, and so are those that arrive
// after the holder itself has responded.
func (h *Holder) applyPage(e *Events, now time.Time) {
	if h.next > 0 {
		return
	}
	if e.SnapshotPage.Number == 0 {
		h.clearParts()
		h.progress = snapshotProgress{Epoch: e.Epoch, Next: e.Next}
	}
	if h.progress != (snapshotProgress{Epoch: e.Epoch, Next: e.Next, Pages: e.SnapshotPage.Number}) {
		return
	}
	h.unreachable = false
	h.applyChanges(e.Changes)
	if h.progress.Pages++; h.progress.Pages < e.SnapshotPage.Of {
		return
	}
	h.progress = snapshotProgress{}
	h.epoch, h.next = e.Epoch, e.Next
	h.epochConfirmedAt, h.savesAllowedAt = e.ConfirmedAt, now.Add(e.SavesIn)
	h.recent = journal{started: true, first: e.Next}
}

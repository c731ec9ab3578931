package kept

import "time"

const (
	// pageParts is the number of parts in a page of a snapshot: some 4 KB, of which a message holds two.
	pageParts = 400
	// toldSlack is how many events later a snapshot is still told: so many that most nodes get all its
	// pages, which takes them 0.1 s, and so few that they hear of what came since in some seconds.
	toldSlack = 60
)

// snapshot is all that a store kept before an event, in pages.
//
// Ids are packed as bytes. DEFLATE makes them no shorter, and takes a small host longer than others
// wait for an answer.
type snapshot struct {
	epoch int64
	next  int64
	pages []packed // at least one; nil where there is no snapshot
}

// Page says which part of a snapshot is told: all of them together are what is kept.
type Page struct {
	Number int `json:"number"` // from 0 on
	Of     int `json:"of"`
}

// copied is how much of a snapshot a node has.
type copied struct {
	Epoch int64 `json:"epoch"`
	Next  int64 `json:"next"`
	Pages int   `json:"pages"` // the first so many
}

// snapshot returns what the holder keeps, for a node that knows nothing of it, and false where this
// node can't tell. It may be a few events old, and the journal tells what came since. So it is made
// once for many nodes that start together.
func (h *Holder) snapshot() (snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost || !h.recent.begun {
		return snapshot{}, false
	}
	if t := h.told; t.pages != nil && t.epoch == h.epoch && t.next >= max(h.recent.first, h.next-toldSlack) {
		return t, true
	}
	parts := make([]Change, 0, len(h.parts))
	for part, tokens := range h.parts {
		parts = append(parts, Change{Part: part, Tokens: tokens})
	}
	h.told = snapshot{epoch: h.epoch, next: h.next, pages: pagesOf(parts)}
	return h.told, true
}

// pagesOf returns the parts in pages, at least one.
func pagesOf(parts []Change) (pages []packed) {
	for len(pages) == 0 || len(parts) > 0 {
		n := min(len(parts), pageParts)
		pages, parts = append(pages, packChanges(parts[:n])), parts[n:]
	}
	return pages
}

// after returns the number of the page that a node lacks next.
func (s *snapshot) after(c *copied) int {
	if c == nil || c.Epoch != s.epoch || c.Next != s.next || c.Pages < 0 || c.Pages >= len(s.pages) {
		return 0
	}
	return c.Pages
}

// copyPage takes a page of a snapshot. The first one begins anew; with the last one the holder is
// known. Pages are dropped that don't follow, or come after the holder itself has answered.
func (h *Holder) copyPage(e *Events, now time.Time) {
	if h.next > 0 {
		return
	}
	if e.Whole.Number == 0 {
		h.clearParts()
		h.copied = copied{Epoch: e.Epoch, Next: e.Next}
	}
	if h.copied != (copied{Epoch: e.Epoch, Next: e.Next, Pages: e.Whole.Number}) {
		return
	}
	h.lost = false
	h.setAll(e.Changes)
	if h.copied.Pages++; h.copied.Pages < e.Whole.Of {
		return
	}
	h.copied = copied{}
	h.epoch, h.next = e.Epoch, e.Next
	h.proven, h.savesFrom = e.ProvenAt, now.Add(e.SavesIn)
	h.recent = journal{begun: true, first: e.Next}
}

package kept

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// pageParts is the number of parts in a page of a snapshot: 5 KB compressed, of which a message
	// holds one or two.
	pageParts = 400
	// mostPage bounds a page when it is decompressed: four times what its parts take, some 25 bytes
	// each.
	mostPage = 100 * pageParts
	// toldSlack is how many events later a snapshot is still told: so many that most nodes get all its
	// pages, which takes them 0.1 s, and so few that they hear of what came since in some seconds.
	toldSlack = 60
)

// snapshot is all that a store kept before an event: in pages, packed and compressed by DEFLATE, as
// ids are hexadecimal.
type snapshot struct {
	epoch int64
	next  int64
	pages [][]byte // at least one; nil where there is no snapshot
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
	slices.SortFunc(parts, compareParts)
	pages, err := pagesOf(parts)
	if err != nil {
		return snapshot{}, false // never: a buffer takes all
	}
	h.told = snapshot{epoch: h.epoch, next: h.next, pages: pages}
	return h.told, true
}

// compareParts puts like parts side by side: 667 take 6,652 bytes in place of 7,743.
func compareParts(a, b Change) int {
	return cmp.Or(cmp.Compare(a.Part.Salt, b.Part.Salt), cmp.Compare(a.Tokens, b.Tokens))
}

// pagesOf returns the parts in pages, at least one.
func pagesOf(parts []Change) (pages [][]byte, err error) {
	for len(pages) == 0 || len(parts) > 0 {
		n := min(len(parts), pageParts)
		page, err := deflate(packChanges(parts[:n]))
		if err != nil {
			return nil, err
		}
		pages, parts = append(pages, page), parts[n:]
	}
	return pages, nil
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
func (h *Holder) copyPage(e *Events) {
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
	h.recent = journal{begun: true, first: e.Next}
}

// inflatePage returns the parts of a page.
func inflatePage(page []byte) ([]Change, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(page)), mostPage+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress what a store keeps")
	}
	if len(data) > mostPage {
		return nil, eris.Errorf("a page of what a store keeps is longer than %d bytes", mostPage)
	}
	return packed(data).unpack()
}

func deflate(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return buffer.Bytes(), err
}

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
	// mostWhole bounds what a store keeps when it is decompressed: 50,000 parts, a hundred times
	// what one of 41 stores was seen to keep.
	mostWhole = 1 << 20
	// copiedSlack is how many events later a snapshot is still told: few enough that a node hears of
	// what came since, at 41 stores, in three answers.
	copiedSlack = 20
)

// snapshot is all that a store kept before an event, packed and compressed by DEFLATE: ids are
// hexadecimal, so 500 parts take 5 KB in place of 10.
type snapshot struct {
	epoch int64
	next  int64
	data  []byte // nil for none
}

// whole returns what the holder keeps, for a node that knows nothing of it, and false where this
// node can't tell. It may be as old as the journal, which tells what came since. So it is made
// once for many nodes that start together.
func (h *Holder) whole() (snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost || !h.recent.begun {
		return snapshot{}, false
	}
	if c := h.copied; c.data != nil && c.epoch == h.epoch && c.next >= max(h.recent.first, h.next-copiedSlack) {
		return c, true
	}
	parts := make([]Change, 0, len(h.parts))
	for part, tokens := range h.parts {
		parts = append(parts, Change{Part: part, Tokens: tokens})
	}
	slices.SortFunc(parts, compareParts)
	data, err := deflate(packChanges(parts))
	if err != nil {
		return snapshot{}, false // never: a buffer takes all
	}
	h.copied = snapshot{epoch: h.epoch, next: h.next, data: data}
	return h.copied, true
}

// compareParts puts like parts side by side: 667 take 6,652 bytes in place of 7,743.
func compareParts(a, b Change) int {
	return cmp.Or(cmp.Compare(a.Part.Salt, b.Part.Salt), cmp.Compare(a.Tokens, b.Tokens))
}

// events returns what a snapshot tells.
func (s *snapshot) events() (*Events, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(s.data)), mostWhole+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress what a store keeps")
	}
	if len(data) > mostWhole {
		return nil, eris.Errorf("what a store keeps is longer than %d bytes", mostWhole)
	}
	parts, err := packed(data).unpack()
	if err != nil {
		return nil, err
	}
	return &Events{Epoch: s.epoch, Next: s.next, Whole: true, Changes: parts}, nil
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

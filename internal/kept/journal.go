package kept

import (
	"cmp"
	"slices"
)

const (
	// journalLength is the number of changes of a holder that a node keeps for others, which
	// ask a few times a second.
	journalLength = 1000
	// journalSlack is how many more there may be before the oldest are dropped: a copy of the
	// journal with each answer was 64 KB for each of 40 stores, four times a second.
	journalSlack = journalLength / 4
)

// journal are the newest changes of a holder in one epoch. Its zero value reaches back to
// nothing.
type journal struct {
	begun   bool
	first   int64 // all changes from this number on are in changes
	changes []Change
}

// note takes what followed a number. After a gap the journal begins anew.
func (j *journal) note(since int64, e *Events) {
	if !j.begun || e.Gap {
		j.begun = true
		j.first = since
		j.changes = nil
	}
	if e.Gap {
		j.first = e.Next
		return
	}
	j.changes = append(j.changes, e.Changes...)
	if extra := len(j.changes) - journalLength; extra > journalSlack {
		j.changes = slices.Clone(j.changes[extra:])
		j.first = j.changes[0].Number
	}
}

// since returns up to most changes from a number on, and false where it reaches not back
// so far.
func (j *journal) since(number int64, most int) (list []Change, ok bool) {
	if !j.begun || number < j.first {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(j.changes, number, func(c Change, n int64) int { return cmp.Compare(c.Number, n) })
	list = slices.Clone(j.changes[at:min(at+most, len(j.changes))])
	return list, true
}

// Position is how far a node knows a store's events.
type Position struct {
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch"`
	Next  int64  `json:"next"` // the first number that it lacks
	// Copied is what it has of a snapshot, where it knows nothing else of the store.
	Copied *copied `json:"copied,omitempty"`
}

// unknown reports whether the node knows nothing of the store, or a part of a snapshot.
func (p *Position) unknown() bool { return p.Epoch == 0 && p.Next == 0 }

// Position returns how far the holder's events are known.
func (h *Holder) Position() Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := Position{Addr: h.Addr, Epoch: h.epoch, Next: h.next}
	if h.copied.Pages > 0 {
		so := h.copied
		p.Copied = &so
	}
	return p
}

// Since returns up to most changes that another node lacks, and false where only the
// holder itself can tell it.
func (h *Holder) Since(p Position, most int) (Events, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost || h.epoch != p.Epoch {
		return Events{}, false
	}
	changes, ok := h.recent.since(p.Next, most)
	if !ok {
		return Events{}, false
	}
	e := Events{Epoch: h.epoch, Next: max(h.next, p.Next), Changes: changes}
	if len(changes) == most {
		e.Next = changes[most-1].Number + 1
	}
	return e, true
}

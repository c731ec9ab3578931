package kvindex

import (
	"cmp"
	"slices"
)

const (
	// journalLength is the number of changes of a holder that a node retains for other nodes,
	// which request them a few times a second.
	journalLength = 1000
	// journalTrimStep is how far the journal may exceed journalLength before it is trimmed.
	// Trimming at each response would copy 64 KB for each of 40 stores, four times a second.
	journalTrimStep = journalLength / 4
)

// journal holds the latest changes of a holder in one epoch. The zero value holds none.
type journal struct {
	started bool
	first   int64 // first event number from which changes is complete
	changes []Change
}

// record appends the changes of a response to a request for events from since on. After a gap the
// journal restarts empty.
func (j *journal) record(since int64, e *Events) {
	if !j.started || e.Gap {
		j.started = true
		j.first = since
		j.changes = nil
	}
	if e.Gap {
		j.first = e.Next
		return
	}
	j.changes = append(j.changes, e.Changes...)
	if extra := len(j.changes) - journalLength; extra > journalTrimStep {
		j.changes = slices.Clone(j.changes[extra:])
		j.first = j.changes[0].Number
	}
}

// since returns up to limit changes from a number on, and false if the journal no longer holds all
// of them.
func (j *journal) since(number int64, limit int) (list []Change, ok bool) {
	if !j.started || number < j.first {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(j.changes, number, func(c Change, n int64) int { return cmp.Compare(c.Number, n) })
	list = slices.Clone(j.changes[at:min(at+limit, len(j.changes))])
	return list, true
}

// Position is the point up to which a node has received a store's events.
type Position struct {
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch"`
	Next  int64  `json:"next"` // number of the first event that it has not received
	// Progress is the progress of a snapshot that is being received, if the node has no other state
	// of the store.
	Progress *snapshotProgress `json:"copied,omitempty"`
}

// lacksState reports whether the node has no complete state of the store: none at all or an
// incomplete snapshot.
func (p *Position) lacksState() bool { return p.Epoch == 0 && p.Next == 0 }

// Position returns the point up to which the holder's events have been received.
func (h *Holder) Position() Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := Position{Addr: h.Addr, Epoch: h.epoch, Next: h.next}
	if h.progress.Pages > 0 {
		progress := h.progress
		p.Progress = &progress
	}
	return p
}

// Since returns up to limit changes that a node at position p has not received, and false if only
// the holder itself can provide them.
func (h *Holder) Since(p Position, limit int) (Events, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable || h.epoch != p.Epoch {
		return Events{}, false
	}
	changes, ok := h.recent.since(p.Next, limit)
	if !ok {
		return Events{}, false
	}
	e := Events{Epoch: h.epoch, Next: max(h.next, p.Next), Changes: changes}
	if len(changes) == limit {
		e.Next = changes[limit-1].Number + 1
	}
	return e, true
}

package changelog

import (
	"slices"
	"sort"
)

// Event reports an accepted change of an object.
type Event struct {
	Offset int64
	Name
	Op Op
}

// Limits on the newest records that a node keeps for its peers and for callers of
// Watch. Above either limit, the oldest records are dropped until at most half of
// each limit is used.
const (
	maxHistoryRecords = 2048
	maxHistoryBytes   = 2 << 20
)

// history holds the newest records, and the events of their changes.
type history struct {
	firstOffset int64 // no record at or above this offset was dropped
	bytes       int
	records     []Record
	events      []Event
}

// add appends the records of a segment that are at or above an offset.
func (h *history) add(from int64, seg Segment) {
	for _, r := range seg.Records {
		if r.Offset >= from {
			h.records = append(h.records, r)
			h.bytes += len(r.Data)
		}
	}
	if len(h.records) > maxHistoryRecords || h.bytes > maxHistoryBytes {
		h.trim()
	}
}

// trim drops the oldest records, with their events, until at most half of each
// limit is used.
func (h *history) trim() {
	cut := 0
	for cut < len(h.records) && (len(h.records)-cut > maxHistoryRecords/2 || h.bytes > maxHistoryBytes/2) {
		h.bytes -= len(h.records[cut].Data)
		h.firstOffset = h.records[cut].Offset + 1
		cut++
	}
	h.records = slices.Clone(h.records[cut:])
	kept := sort.Search(len(h.events), func(i int) bool { return h.events[i].Offset >= h.firstOffset })
	h.events = slices.Clone(h.events[kept:])
}

func (h *history) addEvent(e Event) { h.events = append(h.events, e) }

// eventsFrom returns the events at and above an offset. ok is false if some of
// them were dropped.
func (h *history) eventsFrom(from int64) (events []Event, ok bool) {
	if from < h.firstOffset {
		return nil, false
	}
	i := sort.Search(len(h.events), func(i int) bool { return h.events[i].Offset >= from })
	return slices.Clone(h.events[i:]), true
}

// segment returns the records in [from, to). If they exceed maxBytes, the segment
// ends early, but holds at least one record if there is any. It returns
// ErrCompacted if records at offset from were dropped.
func (h *history) segment(from, to int64, maxBytes int) (Segment, error) {
	if from < h.firstOffset {
		return Segment{}, ErrCompacted
	}
	if from >= to {
		return Segment{From: from, To: from}, nil
	}
	i := sort.Search(len(h.records), func(i int) bool { return h.records[i].Offset >= from })
	seg := Segment{From: from, To: to}
	size := 0
	for _, r := range h.records[i:] {
		if size > 0 && size+len(r.Data) > maxBytes {
			seg.To = r.Offset
			break
		}
		size += len(r.Data)
		seg.Records = append(seg.Records, r)
	}
	return seg, nil
}

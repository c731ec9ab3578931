package changelog

import "context"

// Record is one entry of the log.
type Record struct {
	Offset int64  `json:"o"`
	Data   []byte `json:"d"`
}

// Batch is the result of one read.
type Batch struct {
	// Records holds consecutive records in offset order, all at or above the
	// requested offset.
	Records []Record
	// First is the offset of the oldest record still retained.
	First int64
	// Next is one above the offset of the newest record on the replica that
	// responded.
	Next int64
}

// Log is the platform's append-only log. Offsets start at 1, increase and are never
// reused, but there may be gaps between them.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// or may not be in the log.
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns at most max records at or above from. The replica that responds
	// may lag behind, so a later call may return fewer records, with a lower Next.
	// If from is below Batch.First, the records in between are no longer retained.
	Read(ctx context.Context, from int64, max int) (Batch, error)
}

// Segment holds all records of the log with From <= offset < To. Nodes send
// segments to each other; all their records were read from the log.
type Segment struct {
	From    int64    `json:"from"`
	To      int64    `json:"to"`
	Records []Record `json:"records,omitempty"`
}

// size returns the total size of the records' data in bytes.
func (s Segment) size() int {
	n := 0
	for _, r := range s.Records {
		n += len(r.Data)
	}
	return n
}

// withoutRecords returns an empty segment at the end of this one. A receiver that
// lacks the records detects the gap and pulls them.
func (s Segment) withoutRecords() Segment { return Segment{From: s.To, To: s.To} }

// segmentFromBatch returns the segment that a read from the given offset covers. ok
// is false if the batch is empty or the record at offset from may no longer be
// retained.
func segmentFromBatch(from int64, b Batch) (seg Segment, ok bool) {
	if len(b.Records) == 0 || b.First > from {
		return Segment{}, false
	}
	last := b.Records[len(b.Records)-1].Offset
	return Segment{From: from, To: last + 1, Records: b.Records}, true
}

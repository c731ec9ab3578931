// Package relay lets a few nodes of a large system read the store's topics, and the
// others ask those.
//
// Guarantee: what is read from a node's copy proves no more than the copy did. Its age is
// measured by the copy's own clock when it answers, and counts back from before
// the question was sent, so that neither a slow answer nor a frozen process on either side
// makes a copy seem fresher than it is.
package relay

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/follow"
)

// ErrUnknown is returned for what a copy can't tell: it has not read the topic yet, or
// the records that were asked for are older than it is.
var ErrUnknown = errors.New("relay: the copy doesn't reach back so far")

// Copy keeps a topic's newest records, so that other nodes can ask what changed. It
// passes all it takes on to Sink. It is safe for concurrent use.
type Copy struct {
	Sink follow.Sink
	// Same reports whether a record says nothing new, as heartbeats do; nil means that
	// all records count. Others are not told of such records.
	Same func(before, after []byte) bool
	// Brief returns what is kept and told of a value, which may be long; nil means the value.
	Brief func(value []byte) []byte
	// Clock is the one that batches are dated by. Nil is the steady clock.
	Clock *clock.Clock

	mu          sync.Mutex
	known       map[string]follow.Record // with removed keys, by key
	long        map[string]toldRecord    // those that were told compressed, by key
	first       int64                    // all changes from this offset on are known
	next        int64
	confirmedAt time.Time // zero before the first batch
}

var _ follow.Sink = (*Copy)(nil)

// Apply implements follow.Sink.
func (c *Copy) Apply(b follow.Batch) {
	c.take(&b)
	c.Sink.Apply(b)
}

func (c *Copy) take(b *follow.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Snapshot {
		// What was removed before the snapshot is not known.
		c.known = make(map[string]follow.Record, len(b.Records))
		c.long = make(map[string]toldRecord)
		c.first = b.Next
	}
	for _, r := range b.Records {
		if c.Brief != nil && r.Value != nil {
			r.Value = c.Brief(r.Value)
		}
		before, known := c.known[r.Key]
		if known && c.Same != nil && before.Value != nil && r.Value != nil && c.Same(before.Value, r.Value) {
			continue
		}
		c.known[r.Key] = r
	}
	c.next = b.Next
	c.confirmedAt = b.ConfirmedAt
}

// page is what a copy tells.
type page struct {
	records []toldRecord
	next    int64
	age     time.Duration
	more    bool // there are more records, from next on
}

// Since returns what changed from an offset on, in the order of the offsets. Where that is more than
// so many bytes it returns the first records, at least one, and that there are more.
func (c *Copy) Since(from int64, most int) (page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() || from < c.first {
		return page{}, ErrUnknown
	}
	p := page{next: c.next, age: c.Clock.Since(c.confirmedAt)}
	for _, r := range c.known {
		if r.Offset >= from {
			p.records = append(p.records, c.told(r))
		}
	}
	slices.SortFunc(p.records, func(a, b toldRecord) int { return int(a.Offset - b.Offset) })
	if n := fitting(p.records, most); n < len(p.records) {
		p.next, p.records, p.more = p.records[n].Offset, p.records[:n], true
	}
	return p, nil
}

// told returns a record as it is told. Long ones are compressed once.
func (c *Copy) told(r follow.Record) toldRecord {
	if known, ok := c.long[r.Key]; ok && known.Offset == r.Offset {
		return known
	}
	t := told(r)
	if t.Deflated != nil {
		c.long[r.Key] = t
	}
	return t
}

// fitting returns how many of the first records an answer of so many bytes holds, at least one.
func fitting(records []toldRecord, most int) int {
	bytes := 0
	for i := range records {
		bytes += records[i].bytes()
		if i > 0 && bytes > most {
			return i
		}
	}
	return len(records)
}

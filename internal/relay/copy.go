// Package relay reduces reads of the store in a large system: a few nodes read the store's topics, and
// the other nodes read from those nodes' copies.
//
// Guarantee: relayed state never appears more recent than the copy it comes from. The node with the copy
// measures the copy's age with its own clock when it responds. The reader subtracts the age from a time
// before it sent the request. Neither a slow response nor a suspended process on either side can
// therefore make a copy appear more recent than it is.
package relay

import (
	"bytes"
	"errors"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/follow"
)

// ErrUnknown is returned if a copy does not have the requested records: it has not read the topic yet,
// or it does not contain all changes since the requested offset.
var ErrUnknown = errors.New("relay: copy does not contain the requested records")

// Copy keeps the latest record of each key of a topic, so that other nodes can request changes. It
// forwards all batches to Sink. It is safe for concurrent use.
type Copy struct {
	Sink follow.Sink
	// Same reports whether two values are equivalent, for example if the newer one is only a heartbeat.
	// A record with an equivalent value is not relayed. Short forms are compared if Brief is set. If nil, all
	// records are relayed.
	Same func(before, after []byte) bool
	// Brief returns the short form of a value that is kept and relayed. If nil, the full value is used.
	Brief func(value []byte) []byte
	// Clock is the clock of the batches' ConfirmedAt. If nil, the steady clock is used.
	Clock *clock.Clock
	// Eras are the known eras of the store. While the copy is of an earlier one, it isn't relayed.
	Eras *follow.Eras

	mu          sync.Mutex
	latest      map[string]follow.Record // latest record of each key, including removed keys
	changes     changeList               // of latest
	compressed  map[string]relayedRecord // records relayed in compressed form, by key
	serves      bool                     // another node has requested changes
	longKeys    map[string]bool          // keys of the long records in latest
	long        map[string]*longRecord   // by key
	firstOffset int64                    // the copy has all changes from this offset on
	next        int64
	confirmedAt time.Time    // zero before the first batch
	eraAt       time.Time    // when the copy entered its era
	snapshots   [2]*snapshot // the newest one and the one before it; nil if not made yet
}

var _ follow.Sink = (*Copy)(nil)

// Apply implements follow.Sink.
func (c *Copy) Apply(b follow.Batch) {
	c.update(&b)
	c.Sink.Apply(b)
}

func (c *Copy) update(b *follow.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Snapshot {
		// Which keys were removed before the snapshot is unknown.
		c.latest = make(map[string]follow.Record, len(b.Records))
		c.compressed = make(map[string]relayedRecord)
		c.longKeys, c.long = make(map[string]bool), nil
		c.changes = changeList{}
		c.snapshots = [2]*snapshot{}
		c.firstOffset = b.Next
	}
	for _, r := range b.Records {
		if c.Brief != nil && r.Value != nil {
			r.Value = c.Brief(r.Value)
		}
		before, exists := c.latest[r.Key]
		if exists && c.Same != nil && before.Value != nil && r.Value != nil && c.Same(before.Value, r.Value) {
			continue
		}
		if exists && before.Offset < r.Offset {
			c.keepVersion(before)
		}
		r.Value = bytes.Clone(r.Value) // it is a slice of the whole response
		c.latest[r.Key] = r
		c.setLong(r)
		c.changes.add(r.Key, r.Offset)
	}
	c.changes.settle(c.latest)
	if c.confirmedAt.IsZero() || follow.EraOf(b.Next) != follow.EraOf(c.next) {
		c.eraAt = c.Clock.Now()
	}
	c.next = b.Next
	c.confirmedAt = b.ConfirmedAt
}

// Records returns the latest record of each key, without the removed ones. A copy applies a batch to its
// sink after it has taken it over itself, so the sink may call Records.
func (c *Copy) Records() []follow.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]follow.Record, 0, len(c.latest))
	for _, r := range c.latest {
		if r.Value != nil {
			records = append(records, r)
		}
	}
	return records
}

// reaches reports whether the copy has all records before an offset. A nil copy has none.
func (c *Copy) reaches(next int64) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && c.next >= next
}

// changedRecords is the result of a request to a copy.
type changedRecords struct {
	records []relayedRecord
	next    int64
	age     time.Duration
	eraAge  time.Duration // since the copy entered its era
	more    bool          // more records follow, starting at next
}

// Since returns the records that changed at or after an offset, ordered by offset. If they exceed
// maxBytes, it returns the first ones, at least one, and sets more. It returns ErrUnknown if the copy may
// lack changes since the offset, and an *OutdatedError if it is of an earlier era than the latest known one.
//
// Long records are relayed apart if known is not nil: it returns the offset of the version of a record that
// the requester has, or noBase.
func (c *Copy) Since(from int64, maxBytes int, known func(key string) int64) (changedRecords, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serves = true
	if c.confirmedAt.IsZero() {
		return changedRecords{}, ErrUnknown
	}
	if err := c.checkEra(from); err != nil {
		return changedRecords{}, err
	}
	if from < c.firstOffset {
		return changedRecords{}, ErrUnknown
	}
	result := changedRecords{next: c.next, age: c.Clock.Since(c.confirmedAt), eraAge: c.Clock.Since(c.eraAt)}
	for _, change := range c.changes.since(from) {
		r := c.latest[change.key]
		if r.Offset != change.offset || r.Offset >= c.next {
			continue // a record at or after next is read and relayed again
		}
		relayed, err := c.relayRecord(r, known)
		if err != nil {
			return changedRecords{}, err
		}
		result.records = append(result.records, relayed)
	}
	if n := countFitting(result.records, maxBytes); n < len(result.records) {
		result.next, result.records, result.more = result.records[n].Offset, result.records[:n], true
	}
	return result, nil
}

// relayRecord returns a record in the form in which it is relayed; see Since.
func (c *Copy) relayRecord(r follow.Record, known func(key string) int64) (relayedRecord, error) {
	if known != nil && len(r.Value) >= longFrom {
		return c.relayLong(r, known(r.Key))
	}
	return c.newRelayedRecord(r), nil
}

// newRelayedRecord returns a record in the form in which it is relayed. The compressed form of a long value
// is cached.
func (c *Copy) newRelayedRecord(r follow.Record) relayedRecord {
	if cached, ok := c.compressed[r.Key]; ok && cached.Offset == r.Offset {
		return cached
	}
	relayed := newRelayedRecord(r)
	if relayed.Deflated != nil {
		c.compressed[r.Key] = relayed
	}
	return relayed
}

// countFitting returns the number of leading records that fit into maxBytes, at least one.
func countFitting(records []relayedRecord, maxBytes int) int {
	size := 0
	for i := range records {
		size += records[i].encodedSize()
		if i > 0 && size > maxBytes {
			return i
		}
	}
	return len(records)
}

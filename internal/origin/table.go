package origin

import (
	"sync"
	"time"
	"unique"
)

// maxRecords bounds the records of a Table, which take some 100 bytes each.
const maxRecords = 1 << 16

// Origin is the service and the release of its endpoints' software that began a stream. The zero Origin
// stands for none.
type Origin struct {
	Service string `json:"service"`
	Release string `json:"release"`
}

// Table holds the origins of recent streams. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	// retention returns how long records are kept.
	retention func() time.Duration

	mu      sync.Mutex
	records map[Key]unique.Handle[Origin]
	// order holds the keys of records by the time at which they were added, from the oldest at index head
	// on.
	order []addedRecord
	head  int
}

type addedRecord struct {
	key Key
	at  time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time, retention func() time.Duration) *Table {
	return &Table{now: now, retention: retention, records: make(map[Key]unique.Handle[Origin])}
}

// Add records the origin of a stream. If another origin is recorded for it, the stream has none from then
// on, until the record expires.
func (t *Table) Add(k Key, o Origin) {
	now, handle := t.now(), unique.Make(o)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if recorded, known := t.records[k]; known {
		if recorded != handle {
			t.records[k] = unique.Make(Origin{})
		}
		return
	}
	t.records[k] = handle
	t.order = append(t.order, addedRecord{k, now})
}

// Find returns the recorded origin of a stream. ok is false if there is none.
func (t *Table) Find(k Key) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	recorded, known := t.records[k]
	if !known {
		return Origin{}, false
	}
	o = recorded.Value()
	return o, o != Origin{}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// expire drops the records that are too old, and the oldest so that one more may be added. t.mu is held.
func (t *Table) expire(now time.Time) {
	limit := now.Add(-t.retention())
	for t.head < len(t.order) && (t.order[t.head].at.Before(limit) || len(t.order)-t.head >= maxRecords) {
		delete(t.records, t.order[t.head].key)
		t.head++
	}
	if t.head > len(t.order)/2 {
		t.order = append(t.order[:0], t.order[t.head:]...)
		t.head = 0
	}
}

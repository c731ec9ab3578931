package origin

import (
	"sync"
	"time"
	"unique"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxRecords bounds the records of a Table.
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

	mu sync.Mutex
	// records are in the order in which they were added: they are read with Peek, which leaves it as it is.
	records *simplelru.LRU[Key, *entry]
}

// entry is the recorded origin of a stream.
type entry struct {
	origin  unique.Handle[Origin]
	addedAt time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time, retention func() time.Duration) *Table {
	records, err := simplelru.NewLRU[Key, *entry](maxRecords, nil)
	if err != nil {
		panic(err) // only fails for a size that is not positive
	}
	return &Table{now: now, retention: retention, records: records}
}

// Add records the origin of a stream. If another origin is recorded for it, the stream has none from then
// on, until the record expires.
func (t *Table) Add(k Key, o Origin) {
	now, handle := t.now(), unique.Make(o)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	recorded, known := t.records.Peek(k)
	switch {
	case !known:
		t.records.Add(k, &entry{handle, now})
	case recorded.origin != handle:
		recorded.origin = unique.Make(Origin{})
	}
}

// Find returns the recorded origin of a stream. ok is false if there is none.
func (t *Table) Find(k Key) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	recorded, known := t.records.Peek(k)
	if !known {
		return Origin{}, false
	}
	o = recorded.origin.Value()
	return o, o != Origin{}
}

// Select returns the records of the streams with a matching key whose origin is known.
func (t *Table) Select(match func(k Key) bool) (list []record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	for _, k := range t.records.Keys() {
		if !match(k) {
			continue
		}
		recorded, _ := t.records.Peek(k)
		if o := recorded.origin.Value(); o != (Origin{}) {
			list = append(list, record{k, o})
		}
	}
	return list
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Len()
}

// expire drops the records that are too old. t.mu is held.
func (t *Table) expire(now time.Time) {
	limit := now.Add(-t.retention())
	for {
		_, oldest, ok := t.records.GetOldest()
		if !ok || !oldest.addedAt.Before(limit) {
			return
		}
		t.records.RemoveOldest()
	}
}

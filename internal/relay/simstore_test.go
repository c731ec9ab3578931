package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
)

// simStore is the store of a simulated system, with one topic. All responses share its rate.
type simStore struct {
	rate int // bytes per second

	mu        sync.Mutex
	records   []follow.Record
	changed   chan struct{} // closed and replaced by each write
	busyUntil time.Time
	era       int64
	first     int  // number of the first record that reads of changes return
	away      bool // rejects all calls
	reads     int
	listings  int // reads of all records
	bytes     int
}

func newSimStore(rate int) *simStore {
	return &simStore{rate: rate, changed: make(chan struct{}), busyUntil: time.Now()}
}

// write appends a record of the topic's only key.
func (s *simStore) write(value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: "config", Value: value, Offset: follow.Position(s.era, int64(len(s.records)))})
	s.signal()
}

// setAway sets whether the store rejects all calls. Waiting reads end.
func (s *simStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.signal()
}

// restore raises the era and returns to the first records. It ends waiting reads.
func (s *simStore) restore(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.first = 0
	s.records = slices.Clone(s.records[:records])
	for i := range s.records {
		s.records[i].Offset = follow.Position(s.era, int64(i))
	}
	s.signal()
}

// compact deletes the records that were written so far from those that reads of changes return.
func (s *simStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = len(s.records)
	s.signal()
}

// end returns the position after the newest record.
func (s *simStore) end() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return follow.Position(s.era, int64(len(s.records)))
}

// hasChangesFrom reports whether the store has all changes from a position on. s.mu is held.
func (s *simStore) hasChangesFrom(from int64) bool {
	return follow.EraOf(from) == s.era && follow.OffsetOf(from) >= int64(s.first)
}

// signal ends waiting reads. s.mu is held.
func (s *simStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// allRead returns the number of reads of all records.
func (s *simStore) allRead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listings
}

// totals returns the number of records, of reads, and of the bytes sent.
func (s *simStore) totals() (records, reads, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.reads, s.bytes
}

// simStoreTopic is a node's view of the store.
type simStoreTopic struct {
	store    *simStore
	link     int // bytes per second
	mu       sync.Mutex
	rejected bool  // the store rejects this node's calls
	refused  bool  // the store refused a call of this node because of its load
	era      int64 // that the store has stated to this node
}

// Era returns the latest era that the store has stated to the node.
func (t *simStoreTopic) Era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// heartbeat writes an entry of this node to another topic periodically until ctx is done.
func (t *simStoreTopic) heartbeat(ctx context.Context, offset time.Duration) {
	sleep(ctx, offset)
	for ctx.Err() == nil {
		_, _ = t.call(ctx, simTimeout, func() []follow.Record { return nil }) // the next heartbeat follows
		sleep(ctx, simHeartbeat)
	}
}

const (
	// simTimeout is the time within which a response must arrive, and simQueueTime how long the store may let
	// one wait. Both are as in package platform.
	simTimeout   = 700 * time.Millisecond
	simQueueTime = 2 * time.Second
	// simHeartbeat is the time between two writes of a node's entry.
	simHeartbeat = time.Second
)

var errBusyStore = errors.New("try later")

// timeout returns the time within which the newest records must arrive.
func (t *simStoreTopic) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refused {
		return simTimeout + simQueueTime
	}
	return simTimeout
}

// list reads bytes of another topic, as the list of nodes, until that succeeds.
func (t *simStoreTopic) list(ctx context.Context, bytes int) {
	value := make([]byte, bytes)
	for delay := 250 * time.Millisecond; ctx.Err() == nil; delay = min(2*delay, time.Second) {
		_, err := t.call(ctx, t.timeout(), func() []follow.Record { return []follow.Record{{Value: value}} })
		if err == nil {
			return
		}
		sleep(ctx, delay)
	}
}

var (
	_ follow.Topic = (*simStoreTopic)(nil)

	errRejected = errors.New("connection reset")
)

func (t *simStoreTopic) setRejected(rejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected = rejected
}

// Newest implements follow.Topic.
func (t *simStoreTopic) Newest(ctx context.Context) (follow.Page, error) {
	return t.call(ctx, t.timeout(), func() []follow.Record {
		t.store.listings++
		all := t.store.records
		return all[max(len(all)-1, 0):]
	})
}

// Read implements follow.Topic.
func (t *simStoreTopic) Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	deadline := time.After(wait)
	for {
		if follow.EraOf(from) < t.Era() {
			return follow.Page{}, follow.ErrCompacted
		}
		t.store.mu.Lock()
		available, changed := len(t.store.records) > int(follow.OffsetOf(from)), t.store.changed
		ended := t.store.away || !t.store.hasChangesFrom(from)
		t.store.mu.Unlock()
		if available || ended || wait == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return follow.Page{}, ctx.Err()
		case <-changed:
		case <-deadline:
			wait = 0
		}
	}
	gone := false
	page, err := t.call(ctx, simTimeout, func() []follow.Record {
		if gone = !t.store.hasChangesFrom(from); gone {
			return nil
		}
		return t.store.records[min(int(follow.OffsetOf(from)), len(t.store.records)):]
	})
	if err == nil && gone {
		return follow.Page{}, follow.ErrCompacted
	}
	return page, err
}

// call transfers records. A response that takes longer than the timeout is lost, though the store has sent
// it.
func (t *simStoreTopic) call(ctx context.Context, timeout time.Duration, list func() []follow.Record) (follow.Page, error) {
	t.mu.Lock()
	rejected := t.rejected
	t.mu.Unlock()
	t.store.mu.Lock()
	away := t.store.away
	t.store.mu.Unlock()
	if rejected || away {
		sleep(ctx, simDelay)
		return follow.Page{}, errRejected
	}
	t.store.mu.Lock()
	records := list()
	era := t.store.era
	next := follow.Position(era, int64(len(t.store.records)))
	bytes := 100 + valueBytes(records)
	t.store.reads++
	if now := time.Now(); t.store.busyUntil.Before(now) {
		t.store.busyUntil = now
	}
	if time.Until(t.store.busyUntil) > simQueueTime {
		t.store.mu.Unlock()
		t.mu.Lock()
		t.refused, t.era = true, max(t.era, era)
		t.mu.Unlock()
		sleep(ctx, simDelay)
		return follow.Page{}, errBusyStore
	}
	t.store.bytes += bytes
	t.store.busyUntil = t.store.busyUntil.Add(time.Duration(bytes) * time.Second / time.Duration(t.store.rate))
	took := time.Until(t.store.busyUntil) + time.Duration(bytes)*time.Second/time.Duration(t.link) + 2*simDelay
	t.store.mu.Unlock()
	if !sleep(ctx, min(took, timeout)) {
		return follow.Page{}, ctx.Err()
	}
	if took > timeout {
		return follow.Page{}, context.DeadlineExceeded
	}
	t.mu.Lock()
	t.era = max(t.era, era)
	t.mu.Unlock()
	return follow.Page{Records: records, Next: next}, nil
}

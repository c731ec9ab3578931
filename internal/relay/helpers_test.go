package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
)

// discardSink discards all batches.
type discardSink struct{}

func (discardSink) Apply(follow.Batch) {}

func record(key, value string, offset int64) follow.Record {
	r := follow.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// relayedRecords converts records to the form in which they are relayed.
func relayedRecords(records ...follow.Record) []relayedRecord {
	var list []relayedRecord
	for _, r := range records {
		list = append(list, newRelayedRecord(r))
	}
	return list
}

// randomText returns n random bytes, which cannot be compressed.
func randomText(n int) string {
	random := rand.NewChaCha8([32]byte{1})
	data := make([]byte, n)
	_, _ = random.Read(data)
	return string(data)
}

// sameFirst reports whether two values have the same first letter.
func sameFirst(before, after []byte) bool { return before[0] == after[0] }

// filledCopy returns a copy with records a and b that has all changes from offset 10 on.
func filledCopy(confirmedAt time.Time) *Copy {
	c := &Copy{Sink: discardSink{}, Same: sameFirst}
	c.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("a", "x1", 3), record("b", "y1", 7)}, Next: 10, ConfirmedAt: confirmedAt})
	return c
}

// storeTopic simulates a store that can be made unavailable, and counts its reads.
type storeTopic struct {
	mu          sync.Mutex
	reads       int
	unavailable bool
}

var errUnavailable = errors.New("away")

func (s *storeTopic) Newest(context.Context) (follow.Page, error) { return follow.Page{Next: 10}, nil }

func (s *storeTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return follow.Page{}, errUnavailable
	}
	return follow.Page{Next: from}, nil
}

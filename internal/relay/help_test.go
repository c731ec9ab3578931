package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
)

// drop takes batches and keeps nothing.
type drop struct{}

func (drop) Apply(follow.Batch) {}

func record(key, value string, offset int64) follow.Record {
	r := follow.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// tell returns records as they are told.
func tell(records ...follow.Record) []toldRecord {
	var list []toldRecord
	for _, r := range records {
		list = append(list, told(r))
	}
	return list
}

// noise is text of a length that doesn't get shorter when it is compressed.
func noise(n int) string {
	random := rand.NewChaCha8([32]byte{1})
	data := make([]byte, n)
	_, _ = random.Read(data)
	return string(data)
}

// sameFirst takes values with the same first letter for the same.
func sameFirst(before, after []byte) bool { return before[0] == after[0] }

func filled(confirmedAt time.Time) *Copy {
	c := &Copy{Sink: drop{}, Same: sameFirst}
	c.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("a", "x1", 3), record("b", "y1", 7)}, Next: 10, ConfirmedAt: confirmedAt})
	return c
}

// storeTopic counts reads, and can be away.
type storeTopic struct {
	mu    sync.Mutex
	reads int
	away  bool
}

var errAway = errors.New("away")

func (s *storeTopic) Newest(context.Context) (follow.Page, error) { return follow.Page{Next: 10}, nil }

func (s *storeTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return follow.Page{}, errAway
	}
	return follow.Page{Next: from}, nil
}

package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/follow"
)

func TestPositionsOfALaterEraAreHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Int64Range(0, follow.MaxEra-1).Draw(t, "era")
		offset, other := rapid.Int64Range(0, 1<<40-1).Draw(t, "offset"), rapid.Int64Range(0, 1<<40-1).Draw(t, "other")
		position := follow.Position(era, offset)
		must.Eq(t, era, follow.EraOf(position))
		must.Eq(t, offset, follow.OffsetOf(position))
		must.Less(t, follow.Position(era+1, other), position)
		must.Eq(t, position, int64(float64(position)), must.Sprint("exact in JSON"))
	})
}

// restoredTopic is a topic that can come back from an older copy: later eras have fewer records.
type restoredTopic struct {
	mu      sync.Mutex
	era     int64
	records []string
}

func (t *restoredTopic) page(from int64) follow.Page {
	page := follow.Page{Next: follow.Position(t.era, int64(len(t.records)))}
	for i := from; i < int64(len(t.records)); i++ {
		page.Records = append(page.Records, follow.Record{Key: t.records[i], Value: []byte("v"), Offset: follow.Position(t.era, i)})
	}
	return page
}

func (t *restoredTopic) Newest(context.Context) (follow.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page(0), nil
}

func (t *restoredTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if follow.EraOf(from) != t.era {
		return follow.Page{}, follow.ErrCompacted
	}
	return t.page(follow.OffsetOf(from)), nil
}

func (t *restoredTopic) set(era int64, records ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era, t.records = era, records
}

// TestCopyOfARestoredTopicIsConfirmedAfterAHold checks that a copy follows a topic that came back with other
// records at the offsets that it has read, and is not confirmed before operators can have written again.
func TestCopyOfARestoredTopicIsConfirmedAfterAHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic, sink := &restoredTopic{}, &recordingSink{}
		topic.set(1, "a", "b", "lost")
		f := &follow.Follower{Name: "t", Topic: topic, Sink: sink, Retry: time.Millisecond, Pause: func() time.Duration { return 10 * time.Millisecond }, Log: zerolog.Nop()}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second + 5*time.Millisecond) // between two reads
		topic.set(2, "a", "b", "later")
		restored := time.Now()
		time.Sleep(2 * time.Second)
		cancel()
		must.NoError(t, <-done)
		snapshots := 0
		for _, b := range sink.recorded {
			if follow.EraOf(b.Next) != 2 {
				continue
			}
			if b.Restored {
				snapshots++
				test.True(t, b.Snapshot)
				test.Len(t, 3, b.Records)
			}
			held := b.ConfirmedAt.Before(restored)
			test.True(t, held || b.ConfirmedAt.Sub(restored) >= 500*time.Millisecond, test.Sprint(b.ConfirmedAt.Sub(restored)))
			test.True(t, !held || b.Gap < time.Second)
		}
		test.Eq(t, 1, snapshots)
		last := sink.recorded[len(sink.recorded)-1]
		test.True(t, time.Since(last.ConfirmedAt) < 100*time.Millisecond)
	})
}

package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestConfirmedAtOfRelayedCopy checks that a follower that reads from a copy never has a later ConfirmedAt
// than the copy.
func TestConfirmedAtOfRelayedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &Copy{Sink: discardSink{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := &lastConfirmed{}
		f := &follow.Follower{
			Name: "t", Topic: slowCopy{reader}, Sink: seen, Log: zerolog.Nop(), Retry: 100 * time.Millisecond,
			Pause: func() time.Duration { return 400 * time.Millisecond },
		}
		confirmedAt := time.Now()
		reader.Apply(follow.Batch{Snapshot: true, Next: 10, ConfirmedAt: confirmedAt})
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		for i := range 200 {
			time.Sleep(70 * time.Millisecond)
			if i%13 == 0 && (i < 60 || i > 120) { // the reader cannot reach the store for 4 s
				confirmedAt = time.Now().Add(-30 * time.Millisecond)
				reader.Apply(follow.Batch{Next: 10, ConfirmedAt: confirmedAt})
			}
			test.False(t, seen.at().After(confirmedAt), test.Sprint("step ", i))
		}
		test.False(t, seen.at().IsZero())
		cancel()
		must.NoError(t, <-done)
	})
}

// slowCopy is a copy with long delays of requests and responses.
type slowCopy struct{ *Copy }

func (c slowCopy) Newest(context.Context) (follow.Page, error) {
	return follow.Page{Next: 10, Age: time.Hour}, nil
}

func (c slowCopy) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	time.Sleep(300 * time.Millisecond)
	p, err := c.Since(from, maxRecordBytes, nil)
	page := follow.Page{Next: p.next, Age: p.age}
	time.Sleep(700 * time.Millisecond)
	return page, err
}

// lastConfirmed stores the latest ConfirmedAt.
type lastConfirmed struct {
	mu          sync.Mutex
	confirmedAt time.Time
}

func (l *lastConfirmed) Apply(b follow.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.Snapshot {
		l.confirmedAt = b.ConfirmedAt
	}
}

func (l *lastConfirmed) at() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt
}

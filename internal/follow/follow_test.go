package follow_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// topic answers after a delay from a script.
type topic struct {
	delay     time.Duration
	fail      bool
	compacted bool
	newest    int // calls of Newest
}

var errDown = errors.New("down")

func (t *topic) Newest(context.Context) ([]follow.Record, int64, error) {
	time.Sleep(t.delay)
	if t.fail {
		return nil, 0, errDown
	}
	t.newest++
	t.compacted = false
	return []follow.Record{{Key: "k", Value: []byte("v")}}, 7, nil
}

func (t *topic) Read(_ context.Context, from int64, wait time.Duration) ([]follow.Record, int64, error) {
	if t.fail {
		return nil, 0, errDown
	}
	if t.compacted {
		return nil, 0, follow.ErrCompacted
	}
	time.Sleep(wait + t.delay)
	return nil, from, nil
}

type sink struct{ batches []follow.Batch }

func (s *sink) Apply(b follow.Batch) { s.batches = append(s.batches, b) }

const wait = time.Second

func run(t *testing.T, topic *topic, play func(s *sink)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &sink{}
		f := &follow.Follower{Name: "t", Topic: topic, Sink: s, Wait: wait, Retry: 100 * time.Millisecond, Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		play(s)
		cancel()
		must.NoError(t, <-done)
	})
}

// TestProofIsFromBeforeTheRead keeps a slow answer from making the copy fresher
// than it is.
func TestProofIsFromBeforeTheRead(t *testing.T) {
	run(t, &topic{delay: 3 * time.Second}, func(s *sink) {
		begun := time.Now()
		time.Sleep(10 * time.Second)
		must.SliceNotEmpty(t, s.batches)
		test.Eq(t, begun, s.batches[0].ProvenAt)
		must.Len(t, 2, s.batches)
		test.Eq(t, begun.Add(3*time.Second), s.batches[1].ProvenAt)
	})
}

func TestCompactionReadsTheNewestAgain(t *testing.T) {
	topic := &topic{}
	run(t, topic, func(s *sink) {
		time.Sleep(1500 * time.Millisecond)
		topic.compacted = true
		time.Sleep(2 * time.Second)
		test.Eq(t, 2, topic.newest)
		test.True(t, s.batches[len(s.batches)-1].ProvenAt.After(s.batches[0].ProvenAt))
	})
}

func TestOutageIsToldOnce(t *testing.T) {
	topic := &topic{}
	run(t, topic, func(s *sink) {
		time.Sleep(500 * time.Millisecond)
		topic.fail = true
		time.Sleep(4 * time.Second)
		topic.fail = false
		time.Sleep(3 * time.Second)
		var outages []time.Duration
		for _, b := range s.batches {
			if b.AfterOutage {
				outages = append(outages, b.Outage)
			}
		}
		must.Len(t, 1, outages)
		test.Greater(t, 3*time.Second, outages[0])
	})
}

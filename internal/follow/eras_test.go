package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestWrongWordAboutErasEnds checks that another node's word about an era counts for some seconds only.
func TestWrongWordAboutErasEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stated := int64(1)
		e := &follow.Eras{Stated: func() int64 { return stated }}
		test.Eq(t, 1, e.Latest())
		time.Sleep(time.Minute)
		e.Hear(7)
		e.Hear(3)
		test.Eq(t, 7, e.Latest())
		test.Eq(t, 0, e.KnownFor())
		time.Sleep(4 * time.Second)
		e.Hear(3)
		test.Eq(t, 7, e.Latest())
		test.Eq(t, 4*time.Second, e.KnownFor())
		time.Sleep(time.Second)
		test.Eq(t, 1, e.Latest())
		stated = 2
		test.Eq(t, 2, e.Latest())
		var none *follow.Eras
		none.Hear(4)
		test.Eq(t, 0, none.Latest())
	})
}

// longPollTopic is a topic whose reads take the whole wait, as those of a topic without changes.
type longPollTopic struct{ restoredTopic }

func (t *longPollTopic) Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return t.restoredTopic.Read(ctx, from, 0)
}

// TestRestoredCopyIsConfirmedWhenTheHoldEnds checks that no read that waits for a change delays the proof that the copy
// of a topic that came back is current.
func TestRestoredCopyIsConfirmedWhenTheHoldEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic, sink := &longPollTopic{}, &recordingSink{}
		topic.set(0, "a")
		f := &follow.Follower{Name: "t", Topic: topic, Sink: sink, Retry: time.Millisecond, Wait: func() time.Duration { return time.Second }, Log: zerolog.Nop()}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		topic.set(1, "a", "b")
		time.Sleep(1600 * time.Millisecond) // the read under way, and the hold
		cancel()
		must.NoError(t, <-done)
		test.Less(t, 700*time.Millisecond, time.Since(last(sink.batches()).ConfirmedAt))
	})
}

// relayedTopic is another node's copy of a topic that came back.
type relayedTopic struct{ age, eraAge time.Duration }

func (t *relayedTopic) page() follow.Page {
	return follow.Page{Next: follow.Position(1, 5), Age: t.age, EraAge: t.eraAge}
}

func (t *relayedTopic) Newest(context.Context) (follow.Page, error) { return t.page(), nil }

func (t *relayedTopic) Read(context.Context, int64, time.Duration) (follow.Page, error) {
	return t.page(), nil
}

// TestRelayedCopyIsHeldAsItsSourceIs checks that a copy that another node confirmed after its hold isn't held once more,
// and that one that it confirmed within the hold is.
func TestRelayedCopyIsHeldAsItsSourceIs(t *testing.T) {
	for _, tc := range []struct {
		eraAge    time.Duration
		confirmed bool
	}{{600 * time.Millisecond, true}, {500 * time.Millisecond, false}} {
		synctest.Test(t, func(t *testing.T) {
			topic, sink := &restoredTopic{}, &recordingSink{}
			source := &switchedTopic{Topic: topic}
			topic.set(0, "a")
			f := &follow.Follower{Name: "t", Topic: source, Sink: sink, Pause: func() time.Duration { return 100 * time.Millisecond }, Log: zerolog.Nop()}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- f.Run(ctx) }()
			time.Sleep(time.Second + time.Millisecond)
			source.Topic = &relayedTopic{age: 50 * time.Millisecond, eraAge: tc.eraAge}
			time.Sleep(150 * time.Millisecond)
			cancel()
			must.NoError(t, <-done)
			test.Eq(t, tc.confirmed, time.Since(last(sink.batches()).ConfirmedAt) < 150*time.Millisecond)
		})
	}
}

// switchedTopic is a topic that is replaced by another one between reads.
type switchedTopic struct{ follow.Topic }

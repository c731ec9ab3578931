package follow_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// scriptedTopic is a topic that follows a script and responds after a delay.
type scriptedTopic struct {
	delay time.Duration

	mu          sync.Mutex
	fail        bool
	compacted   bool
	newestCount int // calls of Newest
	failures    int // calls of Read that failed
}

// set sets whether reads fail and whether the history has been compacted.
func (t *scriptedTopic) set(fail, compacted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail, t.compacted = fail, compacted
}

// newestCalls returns the number of calls of Newest.
func (t *scriptedTopic) newestCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestCount
}

var errDown = errors.New("down")

func (t *scriptedTopic) Newest(context.Context) (follow.Page, error) {
	time.Sleep(t.delay)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fail {
		return follow.Page{}, errDown
	}
	t.newestCount++
	t.compacted = false
	return follow.Page{Records: []follow.Record{{Key: "k", Value: []byte("v")}}, Next: 7}, nil
}

func (t *scriptedTopic) Read(_ context.Context, from int64, wait time.Duration) (follow.Page, error) {
	t.mu.Lock()
	fail, compacted := t.fail, t.compacted
	if fail {
		t.failures++
	}
	t.mu.Unlock()
	if fail {
		return follow.Page{}, errDown
	}
	if compacted {
		return follow.Page{}, follow.ErrCompacted
	}
	time.Sleep(wait + t.delay)
	return follow.Page{Next: from}, nil
}

type recordingSink struct {
	mu       sync.Mutex
	recorded []follow.Batch
}

func (s *recordingSink) Apply(b follow.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = append(s.recorded, b)
}

func (s *recordingSink) batches() []follow.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.recorded)
}

func last(batches []follow.Batch) follow.Batch { return batches[len(batches)-1] }

const wait = time.Second

func runFollower(t *testing.T, topic *scriptedTopic, script func(s *recordingSink)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &recordingSink{}
		f := &follow.Follower{Name: "t", Topic: topic, Sink: s, Wait: func() time.Duration { return wait }, Retry: 100 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond, Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		script(s)
		cancel()
		must.NoError(t, <-done)
	})
}

// TestConfirmedAtPrecedesRead checks that a slow response doesn't make the copy seem fresher than
// it is.
func TestConfirmedAtPrecedesRead(t *testing.T) {
	runFollower(t, &scriptedTopic{delay: 3 * time.Second}, func(s *recordingSink) {
		started := time.Now()
		time.Sleep(10 * time.Second)
		must.SliceNotEmpty(t, s.batches())
		test.Eq(t, started, s.batches()[0].ConfirmedAt)
		must.Len(t, 2, s.batches())
		test.Eq(t, started.Add(3*time.Second), s.batches()[1].ConfirmedAt)
	})
}

// TestCompactionTriggersSnapshot checks that a snapshot is read if the next offset was compacted.
func TestCompactionTriggersSnapshot(t *testing.T) {
	topic := &scriptedTopic{}
	runFollower(t, topic, func(s *recordingSink) {
		time.Sleep(1500 * time.Millisecond)
		topic.set(false, true)
		time.Sleep(2 * time.Second)
		test.Eq(t, 2, topic.newestCalls())
		test.True(t, last(s.batches()).ConfirmedAt.After(s.batches()[0].ConfirmedAt))
	})
}

// TestBackoffWhileTopicFails checks that the pause doubles after each failed read up to the
// maximum, so that a recovered topic is noticed within that time, and that a successful read
// resets it.
func TestBackoffWhileTopicFails(t *testing.T) {
	// retryOffset keeps the outage from ending at the same instant as a retry, whose outcome would
	// then depend on which goroutine runs first.
	const retryOffset = 50 * time.Millisecond
	topic := &scriptedTopic{}
	runFollower(t, topic, func(s *recordingSink) {
		time.Sleep(wait / 2)
		for range 2 {
			topic.set(true, false)
			time.Sleep(10*time.Second + retryOffset)
			before := len(s.batches())
			topic.set(false, false)
			time.Sleep(wait + 800*time.Millisecond)
			test.Greater(t, before, len(s.batches()))
		}
		test.GreaterEq(t, 2*12, topic.failures)
		test.LessEq(t, 2*15, topic.failures, test.Sprint("about 100 without backoff"))
	})
}

// TestOutageIsReportedOnce checks that an outage appears as one long Gap, in the first batch after
// it.
func TestOutageIsReportedOnce(t *testing.T) {
	topic := &scriptedTopic{}
	runFollower(t, topic, func(s *recordingSink) {
		time.Sleep(500 * time.Millisecond)
		topic.set(true, false)
		time.Sleep(4 * time.Second)
		topic.set(false, false)
		time.Sleep(3 * time.Second)
		var outages []time.Duration
		for _, b := range s.batches() {
			if b.Gap > 2*wait {
				outages = append(outages, b.Gap)
			}
		}
		must.Len(t, 1, outages)
		test.Greater(t, 3*time.Second, outages[0])
	})
}

// rejectingTopic is a topic whose pages hold records that can't be decoded.
type rejectingTopic struct{ reads int64 }

var errUnreadable = errors.New("unreadable")

func (r *rejectingTopic) page() follow.Page {
	old := follow.Rejected{Record: follow.Record{Key: "old", Offset: 3}, Err: errUnreadable}
	newer := follow.Rejected{Record: follow.Record{Offset: 5 + r.reads}, Err: errUnreadable}
	return follow.Page{Rejected: []follow.Rejected{newer, old}, Next: 6 + r.reads}
}

func (r *rejectingTopic) Newest(context.Context) (follow.Page, error) { return r.page(), nil }

func (r *rejectingTopic) Read(context.Context, int64, time.Duration) (follow.Page, error) {
	r.reads++
	if r.reads%2 == 0 {
		return follow.Page{}, follow.ErrCompacted
	}
	return r.page(), nil
}

// TestRejectedRecords checks that each record that can't be decoded is passed to Reject once, and
// that the follower continues.
func TestRejectedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := make(map[int64]int)
		f := &follow.Follower{
			Topic: &rejectingTopic{}, Sink: &recordingSink{}, Pause: func() time.Duration { return time.Second }, Log: zerolog.Nop(),
			Reject: func(r *follow.Record, cause error) {
				calls[r.Offset]++
				test.ErrorIs(t, cause, errUnreadable)
			},
		}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(4*time.Second + time.Millisecond)
		cancel()
		synctest.Wait()
		test.Eq(t, map[int64]int{3: 1, 5: 1, 6: 1, 7: 1, 8: 1, 9: 1}, calls)
	})
}

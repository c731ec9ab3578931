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

// topic answers after a delay from a script.
type topic struct {
	delay time.Duration

	mu        sync.Mutex
	fail      bool
	compacted bool
	newest    int // calls of Newest
	failures  int // calls of Read that failed
}

// change changes the script.
func (t *topic) change(fail, compacted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail, t.compacted = fail, compacted
}

// reads returns the number of calls of Newest.
func (t *topic) reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

var errDown = errors.New("down")

func (t *topic) Newest(context.Context) (follow.Page, error) {
	time.Sleep(t.delay)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fail {
		return follow.Page{}, errDown
	}
	t.newest++
	t.compacted = false
	return follow.Page{Records: []follow.Record{{Key: "k", Value: []byte("v")}}, Next: 7}, nil
}

func (t *topic) Read(_ context.Context, from int64, wait time.Duration) (follow.Page, error) {
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

type sink struct {
	mu    sync.Mutex
	taken []follow.Batch
}

func (s *sink) Apply(b follow.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = append(s.taken, b)
}

func (s *sink) batches() []follow.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.taken)
}

func last(batches []follow.Batch) follow.Batch { return batches[len(batches)-1] }

const wait = time.Second

func run(t *testing.T, topic *topic, play func(s *sink)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &sink{}
		f := &follow.Follower{Name: "t", Topic: topic, Sink: s, Wait: func() time.Duration { return wait }, Retry: 100 * time.Millisecond, RetryMost: 800 * time.Millisecond, Log: zerolog.Nop()}
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
		must.SliceNotEmpty(t, s.batches())
		test.Eq(t, begun, s.batches()[0].ProvenAt)
		must.Len(t, 2, s.batches())
		test.Eq(t, begun.Add(3*time.Second), s.batches()[1].ProvenAt)
	})
}

func TestCompactionReadsTheNewestAgain(t *testing.T) {
	topic := &topic{}
	run(t, topic, func(s *sink) {
		time.Sleep(1500 * time.Millisecond)
		topic.change(false, true)
		time.Sleep(2 * time.Second)
		test.Eq(t, 2, topic.reads())
		test.True(t, last(s.batches()).ProvenAt.After(s.batches()[0].ProvenAt))
	})
}

// TestReadsSeldomWhileTheTopicIsAway doubles the pause after each failed read up to a bound,
// within which a topic that is back is noticed, and begins anew after a good one.
func TestReadsSeldomWhileTheTopicIsAway(t *testing.T) {
	// offGrid keeps the outage from ending at the very instant of a retry, whose outcome
	// would then depend on which goroutine runs first.
	const offGrid = 50 * time.Millisecond
	topic := &topic{}
	run(t, topic, func(s *sink) {
		time.Sleep(wait / 2)
		for range 2 {
			topic.change(true, false)
			time.Sleep(10*time.Second + offGrid)
			before := len(s.batches())
			topic.change(false, false)
			time.Sleep(wait + 800*time.Millisecond)
			test.Greater(t, before, len(s.batches()))
		}
		test.GreaterEq(t, 2*12, topic.failures)
		test.LessEq(t, 2*15, topic.failures, test.Sprint("some 100 with the shortest pause"))
	})
}

func TestOutageIsToldOnce(t *testing.T) {
	topic := &topic{}
	run(t, topic, func(s *sink) {
		time.Sleep(500 * time.Millisecond)
		topic.change(true, false)
		time.Sleep(4 * time.Second)
		topic.change(false, false)
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

// rejecting brings a record that can't be read with each answer.
type rejecting struct{ reads int64 }

var errUnreadable = errors.New("unreadable")

func (r *rejecting) page() follow.Page {
	old := follow.Rejected{Record: follow.Record{Key: "old", Offset: 3}, Err: errUnreadable}
	newer := follow.Rejected{Record: follow.Record{Offset: 5 + r.reads}, Err: errUnreadable}
	return follow.Page{Rejected: []follow.Rejected{newer, old}, Next: 6 + r.reads}
}

func (r *rejecting) Newest(context.Context) (follow.Page, error) { return r.page(), nil }

func (r *rejecting) Read(context.Context, int64, time.Duration) (follow.Page, error) {
	r.reads++
	if r.reads%2 == 0 {
		return follow.Page{}, follow.ErrCompacted
	}
	return r.page(), nil
}

// TestRejectedRecords tells of each record that can't be read once, and goes on.
func TestRejectedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		told := make(map[int64]int)
		f := &follow.Follower{
			Topic: &rejecting{}, Sink: &sink{}, Pause: func() time.Duration { return time.Second }, Log: zerolog.Nop(),
			Reject: func(r *follow.Record, cause error) {
				told[r.Offset]++
				test.ErrorIs(t, cause, errUnreadable)
			},
		}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(4*time.Second + time.Millisecond)
		cancel()
		synctest.Wait()
		test.Eq(t, map[int64]int{3: 1, 5: 1, 6: 1, 7: 1, 8: 1, 9: 1}, told)
	})
}

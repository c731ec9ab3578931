// Package follow keeps a copy of a compacted topic current: it reads the newest
// record of each key once and then what changes, and proves how current the copy
// is.
//
// Guarantees: records reach the sink in the order of their offsets, each at least
// once. ProvenAt is a time at which the copy was certainly current: it is taken
// before a read is sent, never when its answer arrives, so that a delayed answer
// or a frozen process can't make the copy seem fresher than it is. A record that can't
// be read is passed over, and stops nothing.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
)

// ErrCompacted is returned by Topic.Read where the records from the offset on are
// no longer retained.
var ErrCompacted = errors.New("follow: the records were compacted")

// ErrChanged is returned by a write that was to follow the newest record that its writer
// knows, where the topic has newer ones. Nothing was written.
var ErrChanged = errors.New("follow: the topic has newer records")

// Record is one record of a topic. A nil Value means that the key was removed.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Rejected is a record that can't be read. Of its Record the offset is set, and the key where
// that can be read.
type Rejected struct {
	Record
	Err error
}

// Page is the answer to one read.
type Page struct {
	Records []Record
	// Rejected are the records that were passed over, as they can't be read.
	Rejected []Rejected
	Next     int64 // offset to read from next
	// Age is how long before the read was sent the answer was current, at most: 0 where
	// the topic itself was asked, more where another's copy was.
	Age time.Duration
}

// Topic is a compacted topic. Its calls may be repeated.
type Topic interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on, waiting up to wait for the
	// first. It fails with ErrCompacted where they are no longer retained.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Batch is what one read brought.
type Batch struct {
	Records []Record
	// Snapshot is true where Records are all keys that there are.
	Snapshot bool
	// ProvenAt is the time at which the copy was current.
	ProvenAt time.Time
	// Next is the offset after the newest record that the copy holds.
	Next int64
	// Gap is the time from the proof before, or from the start, to ProvenAt. Within it
	// the topic may have been out of reach.
	Gap time.Duration
	// Failed is true where a read failed since the proof before. Without it a long Gap is this
	// process's own lateness.
	Failed bool
}

// Sink takes what was read. Its methods are called by one goroutine.
type Sink interface {
	Apply(Batch)
}

// Follower follows one topic.
type Follower struct {
	Name  string // in logs
	Topic Topic
	Sink  Sink
	// Wait returns how long a read waits for a change. Nil means that reads don't wait.
	Wait func() time.Duration
	// Pause returns the time between the start of two reads, at least. Nil means none.
	Pause func() time.Duration
	// Retry is the time after a failed read. It doubles with each further one up to
	// RetryMost, as reads of a store that is away cost as much as others.
	Retry, RetryMost time.Duration
	// Reject takes the records that can't be read, each once. Nil means that nobody does.
	Reject func(r *Record, cause error)
	// Clock dates what was read. Nil is the steady clock.
	Clock *clock.Clock
	Log   zerolog.Logger

	next    int64 // offset to read from, or unknown
	proven  time.Time
	failing bool
	pause   time.Duration // after the newest failed read
	// rejected is the offset up to which Reject took the records.
	rejected int64
}

// now returns what a setting is at present, which may change with the number of nodes.
func now(setting func() time.Duration) time.Duration {
	if setting == nil {
		return 0
	}
	return setting()
}

// unknown is the offset of a follower that has read nothing yet.
const unknown = -1

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.next = unknown
	f.proven = f.Clock.Now()
	for ctx.Err() == nil {
		begun := f.Clock.Now()
		pause := now(f.Pause)
		if err := f.step(ctx, begun); err != nil && ctx.Err() == nil {
			f.failed(err)
			f.pause = min(max(2*f.pause, f.Retry), max(f.Retry, f.RetryMost))
			pause = f.pause
		}
		retry.Sleep(ctx, pause-f.Clock.Since(begun))
	}
	return nil
}

// step reads once. begun is a time before the read is sent.
func (f *Follower) step(ctx context.Context, begun time.Time) error {
	snapshot := f.next == unknown
	var page Page
	var err error
	if snapshot {
		page, err = f.Topic.Newest(ctx)
	} else {
		page, err = f.Topic.Read(ctx, f.next, now(f.Wait))
	}
	if errors.Is(err, ErrCompacted) {
		f.Log.Info().Str("event", "history_gone").Str("topic", f.Name).Int64("offset", f.next).Send()
		f.next = unknown
		return f.step(ctx, f.Clock.Now())
	}
	if err != nil {
		return err
	}
	f.next = max(f.next, page.Next)
	batch := Batch{Records: page.Records, Snapshot: snapshot, ProvenAt: begun.Add(-page.Age), Next: f.next}
	batch.Gap = max(batch.ProvenAt.Sub(f.proven), 0)
	batch.Failed = f.failing
	f.succeeded(&batch)
	f.reject(page.Rejected)
	f.Sink.Apply(batch)
	return nil
}

// reject tells of the records that were not told of yet: those that are not compacted are read
// again with a snapshot.
func (f *Follower) reject(list []Rejected) {
	told := f.rejected
	for i := range list {
		r := &list[i]
		if r.Offset < told || f.Reject == nil {
			continue
		}
		f.Reject(&r.Record, r.Err)
		f.rejected = max(f.rejected, r.Offset+1)
	}
}

func (f *Follower) succeeded(b *Batch) {
	f.pause = 0
	if f.failing {
		f.failing = false
		f.Log.Info().Str("event", "store_regained").Str("topic", f.Name).Dur("outage_ms", b.Gap).Send()
	}
	// A node that is asked after another may have an older copy.
	b.ProvenAt = later(b.ProvenAt, f.proven)
	f.proven = b.ProvenAt
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (f *Follower) failed(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.Log.Warn().Str("event", "store_lost").Str("topic", f.Name).AnErr("error", err).Send()
}

// Package follow keeps a copy of a compacted topic current: it reads the newest
// record of each key once and then what changes, and proves how current the copy
// is.
//
// Guarantees: records reach the sink in the order of their offsets, each at least
// once. ProvenAt is a time at which the copy was certainly current: it is taken
// before a read is sent, never when its answer arrives, so that a delayed answer
// or a frozen process can't make the copy seem fresher than it is.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
)

// ErrCompacted is returned by Topic.Read where the records from the offset on are
// no longer retained.
var ErrCompacted = errors.New("follow: the records were compacted")

// Record is one record of a topic. A nil Value means that the key was removed.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Topic is a compacted topic. Its calls may be repeated.
type Topic interface {
	// Newest returns the newest record of each key, and the offset to read from
	// next.
	Newest(ctx context.Context) (records []Record, next int64, err error)
	// Read returns the records from an offset on, waiting up to wait for the
	// first. It fails with ErrCompacted where they are no longer retained.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, err error)
}

// Batch is what one read brought.
type Batch struct {
	Records []Record
	// Snapshot is true where Records are all keys that there are.
	Snapshot bool
	// ProvenAt is the time at which the copy was current.
	ProvenAt time.Time
	// AfterOutage is true where reads failed before this one, for Outage.
	AfterOutage bool
	Outage      time.Duration
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
	// Retry is the time after a failed read.
	Retry time.Duration
	Log   zerolog.Logger

	next     int64 // offset to read from, or unknown
	lastGood time.Time
	failing  bool
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
	f.lastGood = time.Now()
	for ctx.Err() == nil {
		begun := time.Now()
		pause := now(f.Pause)
		if err := f.step(ctx, begun); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause = f.Retry
		}
		retry.Sleep(ctx, pause-time.Since(begun))
	}
	return nil
}

// step reads once. begun is a time before the read is sent.
func (f *Follower) step(ctx context.Context, begun time.Time) error {
	batch := Batch{ProvenAt: begun, Snapshot: f.next == unknown}
	var err error
	var next int64
	if batch.Snapshot {
		batch.Records, next, err = f.Topic.Newest(ctx)
	} else {
		batch.Records, next, err = f.Topic.Read(ctx, f.next, now(f.Wait))
	}
	if errors.Is(err, ErrCompacted) {
		f.Log.Info().Str("event", "history_gone").Str("topic", f.Name).Int64("offset", f.next).Send()
		f.next = unknown
		return f.step(ctx, time.Now())
	}
	if err != nil {
		return err
	}
	f.succeeded(&batch)
	f.next = next
	f.Sink.Apply(batch)
	return nil
}

func (f *Follower) succeeded(b *Batch) {
	if f.failing {
		f.failing = false
		b.AfterOutage = true
		b.Outage = time.Since(f.lastGood)
		f.Log.Info().Str("event", "store_regained").Str("topic", f.Name).Dur("outage_ms", b.Outage).Send()
	}
	f.lastGood = time.Now()
}

func (f *Follower) failed(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.Log.Warn().Str("event", "store_lost").Str("topic", f.Name).AnErr("error", err).Send()
}

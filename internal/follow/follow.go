// Package follow maintains a local copy of a compacted topic: it reads the newest record of each
// key once, then the changes, and determines how current the copy is.
//
// A store that comes back from an older copy of its data raises its era. The newest record of each key is
// then read again, as after a compaction.
//
// Guarantees: every retained record that can be decoded reaches the sink at least once, in the
// order of the offsets. Records that are compacted before they are read don't reach it. ConfirmedAt
// is a time at which the copy was certainly current, except that it is never before the start of
// Run, even if the first page was already older. It is taken before a read is sent, never when the
// response arrives, so that a delayed response or a suspended process can't make the copy seem
// fresher than it is. A record that can't be decoded is skipped and doesn't stop the copy.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
)

// ErrCompacted is returned by Topic.Read if the records from the offset on are no longer retained.
var ErrCompacted = errors.New("follow: the records were compacted")

// ErrChanged is returned by a conditional write if the topic has newer records than the newest one
// known to the writer. Nothing was written.
var ErrChanged = errors.New("follow: the topic has newer records")

// Record is one record of a topic. A nil Value means that the key was deleted.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Rejected is a record that can't be decoded. Its offset is set, and its key if that could be
// decoded.
type Rejected struct {
	Record
	Err error
}

// Page is the response to one read.
type Page struct {
	Records []Record
	// Rejected are the records that were skipped because they can't be decoded.
	Rejected []Rejected
	Next     int64 // offset of the next read
	// The page was current at most Age before the read was sent: 0 if the topic itself responded,
	// more if another node's copy did.
	Age time.Duration
	// EraAge is how long the copy that responded has been of its era of the store; 0 if the topic itself
	// responded, or if that isn't known.
	EraAge time.Duration
	// Source states who responded, for logs.
	Source Source
}

// Topic is a compacted topic. Its calls are idempotent.
type Topic interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on, waiting up to wait for the first one. It fails
	// with ErrCompacted if they are no longer retained.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Snapshot is true if Records holds all existing keys.
	Snapshot bool
	// Restored is true for the first snapshot since the store came back from an older copy. It lacks what
	// was written last before: what operators and servers wrote is written again, what nodes wrote is not.
	Restored bool
	// ConfirmedAt is a time at which the copy was certainly current.
	ConfirmedAt time.Time
	// Next is the offset after the newest record in the copy.
	Next int64
	// Gap is the time from the previous ConfirmedAt, or from the start, to the read. The topic may have
	// been unreachable during it.
	Gap time.Duration
	// Failed is true if a read failed since the previous batch. If it is false, a long Gap is a
	// delay of this process.
	Failed bool
	// Source and Age are those of the page.
	Source Source
	Age    time.Duration
}

// Sink receives the batches. Its methods are called by one goroutine.
type Sink interface {
	Apply(Batch)
}

// Follower maintains a copy of one topic.
type Follower struct {
	Name  string // in logs
	Topic Topic
	Sink  Sink
	// Wait returns how long a read waits for a change. Nil means that reads don't wait.
	Wait func() time.Duration
	// Pause returns the minimum time between the starts of two reads. Nil means 0.
	Pause func() time.Duration
	// Retry is the pause after a failed read. It doubles with each consecutive failure up to the
	// maximum, because a failed read costs as much as a successful one.
	Retry, MaxRetryDelay time.Duration
	// Reject receives the records that can't be decoded, each once. Nil means that they are
	// discarded.
	Reject func(r *Record, cause error)
	// Clock timestamps the reads. Nil is the monotonic clock.
	Clock *clock.Clock
	Log   zerolog.Logger

	nextOffset  int64     // offset of the next read, or unknownOffset
	startedAt   time.Time // of Run
	confirmedAt time.Time // zero before the first page
	failing     bool
	backoff     time.Duration // pause after the latest failed read
	era         int64         // of the copy
	restoredAt  time.Time     // when the first snapshot of the era was read; zero for the first era
	holding     bool          // the copy has not been confirmed since restoredAt
	// rejectedUpTo is the offset after the newest record passed to Reject.
	rejectedUpTo int64
}

// settingValue returns the current value of a setting, which may change with the number of nodes,
// or 0 if it is nil.
func settingValue(setting func() time.Duration) time.Duration {
	if setting == nil {
		return 0
	}
	return setting()
}

// restoreHold is the time after a store came back from an older copy during which a copy is not confirmed:
// what operators wrote last is only then written again.
const restoreHold = 500 * time.Millisecond

// errEarlierEra is returned for a page of an earlier era of the store than the copy.
var errEarlierEra = errors.New("follow: page is of an earlier era of the store")

// unknownOffset is the offset of a follower that has not read a snapshot.
const unknownOffset = -1

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.nextOffset = unknownOffset
	f.startedAt = f.Clock.Now()
	for ctx.Err() == nil {
		started := f.Clock.Now()
		pause := settingValue(f.Pause)
		if err := f.readOnce(ctx, started); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			f.backoff = min(max(2*f.backoff, f.Retry), max(f.Retry, f.MaxRetryDelay))
			pause = f.backoff
		}
		retry.Sleep(ctx, pause-f.Clock.Since(started))
	}
	return nil
}

// readOnce performs one read, and a snapshot read too if the offset was compacted. started must be
// a time before the read is sent.
func (f *Follower) readOnce(ctx context.Context, started time.Time) error {
	snapshot := f.nextOffset == unknownOffset
	var page Page
	var err error
	if snapshot {
		page, err = f.Topic.Newest(ctx)
	} else {
		page, err = f.Topic.Read(ctx, f.nextOffset, f.readWait())
	}
	if errors.Is(err, ErrCompacted) {
		f.Log.Info().Str("event", "history_gone").Str("topic", f.Name).Int64("era", EraOf(f.nextOffset)).Int64("offset", OffsetOf(f.nextOffset)).Send()
		f.nextOffset = unknownOffset
		return f.readOnce(ctx, f.Clock.Now())
	}
	if err != nil {
		return err
	}
	restored, err := f.enterEra(EraOf(page.Next))
	if err != nil {
		return err
	}
	f.nextOffset = max(f.nextOffset, page.Next)
	batch := Batch{Records: page.Records, Snapshot: snapshot, Restored: restored, ConfirmedAt: started.Add(-page.Age), Next: f.nextOffset, Source: page.Source, Age: page.Age}
	batch.Gap = max(batch.ConfirmedAt.Sub(later(f.confirmedAt, f.startedAt)), 0)
	f.holding = f.isHeld(&page, batch.ConfirmedAt)
	if f.holding {
		batch.ConfirmedAt = f.confirmedAt
	}
	batch.Failed = f.failing
	f.recordSuccess(&batch)
	f.reportRejected(page.Rejected)
	f.Sink.Apply(batch)
	return nil
}

// readWait returns how long a read waits for a change. A read that may confirm the copy for the first time in its era
// doesn't wait, and one before it only until then.
func (f *Follower) readWait() time.Duration {
	wait := settingValue(f.Wait)
	if f.holding {
		wait = min(wait, max(restoreHold-f.Clock.Since(f.restoredAt), 0))
	}
	return wait
}

// isHeld reports whether a page is not yet a proof that the copy is current, as the store came back from an older
// copy shortly before confirmedAt. A page of another node's copy is judged by when that one entered the era.
func (f *Follower) isHeld(page *Page, confirmedAt time.Time) bool {
	if f.restoredAt.IsZero() {
		return false
	}
	if page.EraAge > 0 {
		return page.EraAge-page.Age < restoreHold
	}
	return confirmedAt.Sub(f.restoredAt) < restoreHold
}

// enterEra records the era of a page, and reports whether the store has come back from an older copy since
// the page before. It fails for a page of an earlier era, which another node may still have.
func (f *Follower) enterEra(era int64) (restored bool, err error) {
	switch {
	case era < f.era:
		f.nextOffset = unknownOffset
		return false, errEarlierEra
	case era == f.era || f.confirmedAt.IsZero():
		f.era = era
		return false, nil
	}
	f.Log.Warn().Str("event", "copy_restored").Str("topic", f.Name).Int64("era", era).Int64("before", f.era).Send()
	f.era, f.restoredAt = era, f.Clock.Now()
	return true, nil
}

// reportRejected passes the records to Reject that were not passed before. Records that are still
// retained are read again with each snapshot.
func (f *Follower) reportRejected(list []Rejected) {
	firstUnreported := f.rejectedUpTo
	for i := range list {
		r := &list[i]
		if r.Offset < firstUnreported || f.Reject == nil {
			continue
		}
		f.Reject(&r.Record, r.Err)
		f.rejectedUpTo = max(f.rejectedUpTo, r.Offset+1)
	}
}

// recordSuccess ends the backoff and any outage, and keeps the batch's ConfirmedAt from decreasing.
func (f *Follower) recordSuccess(b *Batch) {
	f.backoff = 0
	if f.failing {
		f.failing = false
		f.Log.Info().Str("event", "store_regained").Str("topic", f.Name).Dur("outage_ms", b.Gap).Send()
	}
	// A read served by another node than the previous one may be based on an older copy.
	b.ConfirmedAt = later(b.ConfirmedAt, f.confirmedAt)
	f.confirmedAt = b.ConfirmedAt
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// recordFailure logs the start of an outage.
func (f *Follower) recordFailure(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.Log.Warn().Str("event", "store_lost").Str("topic", f.Name).AnErr("error", err).Send()
}

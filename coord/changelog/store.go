package changelog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// DefaultMaxRecord is the default size limit of a record in bytes.
const DefaultMaxRecord = 64 << 10

// Limits and delays of reads and retries.
const (
	maxReadRecords      = 512                    // requested in one read
	callTimeout         = 2 * time.Second        // of one call to the log or request to a peer
	minReadBackDelay    = 10 * time.Millisecond  // initial delay between reads for an outcome
	maxReadBackDelay    = 500 * time.Millisecond // maximum of that delay
	minAppendRetryDelay = 2 * time.Second        // initial delay before a failed append is retried
	maxAppendRetryDelay = 30 * time.Second       // maximum of that delay
)

// Store holds one node's copy of the state and proposes changes to it. A Follower
// keeps it up to date. It is safe for concurrent use.
type Store[V any] struct {
	log       Log
	maxRecord int
	state     *state[V]
	readToken chan struct{} // holds one token while a poll of the log is in progress
	freshness *freshness
	// onRead, if set, is called after a read of the log with the segment read if
	// it advanced the state, or with an empty one if the read returned no records.
	onRead func(seg Segment)
}

// NewStore returns a store without a state; LoadFromLog, Restore or a Follower loads
// one. maxRecord is the size limit of the log's records in bytes, 0 for
// DefaultMaxRecord.
func NewStore[V any](log Log, schema Schema[V], maxRecord int) *Store[V] {
	if maxRecord == 0 {
		maxRecord = DefaultMaxRecord
	}
	return &Store[V]{
		log:       log,
		maxRecord: maxRecord,
		state:     newState(schema),
		readToken: make(chan struct{}, 1),
		freshness: newFreshness(),
	}
}

// Ready reports whether a state has been loaded. Once true, it stays true.
func (s *Store[V]) Ready() bool { return s.state.isReady() }

// Snapshot returns the current state.
func (s *Store[V]) Snapshot() *Snapshot[V] { return s.state.snapshot.Load() }

// WaitApplied blocks until the log is applied up to the offset. It returns the
// context's error if the context ends first.
func (s *Store[V]) WaitApplied(ctx context.Context, offset int64) error {
	for {
		progress := s.state.awaitProgress()
		if s.state.applied() >= offset {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Update is the state with the changes after an offset.
type Update[V any] struct {
	// Snapshot is the current state.
	Snapshot *Snapshot[V]
	// Events are all accepted changes after the offset, in order, unless Reset is
	// set.
	Events []Event
	// Reset reports that this node no longer holds all events after the offset.
	// Events is then empty, and the caller must process the complete Snapshot.
	Reset bool
}

// Watch blocks until the log is applied beyond the offset and returns the update.
// Call it again with the offset of the returned Snapshot; Events then has all
// changes between the calls unless Reset is set. It returns the context's error if
// the context ends first.
func (s *Store[V]) Watch(ctx context.Context, after int64) (Update[V], error) {
	if err := s.WaitApplied(ctx, after+1); err != nil {
		return Update[V]{}, err
	}
	return s.state.updateSince(after), nil
}

// Propose appends the change and returns its outcome once its record was read back
// and applied on this node. It retries a failed append until the context ends. It
// returns the error of Outcome.Err, or ErrUnknownOutcome if the context ended
// first (proposing the same Change again is safe). With any other error, nothing
// was appended.
func (s *Store[V]) Propose(ctx context.Context, c Change) (Outcome, error) {
	data, err := s.prepareChange(ctx, c)
	if err != nil {
		return Outcome{}, err
	}
	outcome := s.state.await(c.ID)
	defer s.state.cancelAwait(c.ID, outcome)
	if o, ok := tryReceive(outcome); ok {
		return o, o.Err()
	}
	delays := &backoff.ExponentialBackOff{
		InitialInterval: minAppendRetryDelay, MaxInterval: maxAppendRetryDelay, Multiplier: 2, RandomizationFactor: 0.2,
	}
	delays.Reset()
	for {
		err := s.append(ctx, data)
		if o, ok := s.readBack(ctx, outcome, err, delays.NextBackOff()); ok {
			return o, o.Err()
		}
		if ctx.Err() != nil {
			return Outcome{}, errors.Join(ErrUnknownOutcome, ctx.Err(), err)
		}
	}
}

func (s *Store[V]) prepareChange(ctx context.Context, c Change) ([]byte, error) {
	if !s.Ready() {
		return nil, ErrNotReady
	}
	data, err := encodeChange(c)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	if len(data) > s.maxRecord {
		return nil, fmt.Errorf("%w: %d bytes, limit %d bytes", ErrTooLarge, len(data), s.maxRecord)
	}
	return data, ctx.Err()
}

func (s *Store[V]) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, data)
	return err
}

// readBack reads the log until the outcome is known or the context ends. If the
// append failed, it stops after maxWait.
func (s *Store[V]) readBack(ctx context.Context, outcome <-chan Outcome, appendErr error, maxWait time.Duration) (Outcome, bool) {
	if appendErr != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWait)
		defer cancel()
	}
	delays := &backoff.ExponentialBackOff{
		InitialInterval: minReadBackDelay, MaxInterval: maxReadBackDelay, Multiplier: 1.6, RandomizationFactor: 0.3,
	}
	delays.Reset()
	for {
		s.Poll(ctx) // after an error, the next iteration reads again
		if o, ok := tryReceive(outcome); ok {
			return o, true
		}
		select {
		case o := <-outcome:
			return o, true
		case <-ctx.Done():
			return Outcome{}, false
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// tryReceive returns the outcome in the channel, if any, without blocking.
func tryReceive(ch <-chan Outcome) (Outcome, bool) {
	select {
	case o := <-ch:
		return o, true
	default:
		return Outcome{}, false
	}
}

// Poll reads the log from the applied offset to its end and applies the new
// records. It returns ErrCompacted if the next records are no longer retained; then
// a newer state must be loaded.
func (s *Store[V]) Poll(ctx context.Context) error {
	select {
	case s.readToken <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.readToken }()
	for {
		more, err := s.readOnce(ctx)
		if err != nil || !more {
			return err
		}
	}
}

// readOnce reads and applies one batch. more reports whether the log has further
// records.
func (s *Store[V]) readOnce(ctx context.Context) (more bool, err error) {
	from := s.state.applied() + 1
	b, err := s.readLog(ctx, from)
	if err != nil {
		return false, err
	}
	if b.First > from {
		return false, ErrCompacted
	}
	seg, ok := segmentFromBatch(from, b)
	if !ok {
		seg = Segment{From: from, To: from}
	}
	seg.Records = stripPartData(seg.Records)
	advanced, err := s.state.apply(seg)
	if err != nil {
		return false, err
	}
	if s.onRead != nil && (advanced || !ok) {
		s.onRead(seg)
	}
	return ok && seg.To < b.Next, nil
}

// readLog makes one read of the log and records its time in freshness.
func (s *Store[V]) readLog(ctx context.Context, from int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	b, err := s.log.Read(ctx, from, maxReadRecords)
	if err != nil {
		return Batch{}, err
	}
	s.freshness.recordLogRead(started, b.Next-1)
	return b, nil
}

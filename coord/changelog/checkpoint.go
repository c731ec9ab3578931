package changelog

import (
	"context"
	"time"
)

// CheckpointPolicy specifies when checkpoints are written. The log must retain
// records for several times Interval and for several times Changes changes.
type CheckpointPolicy struct {
	// Changes is the number of changes since the last complete checkpoint after
	// which a new one is written.
	Changes int
	// Interval is the time since the last complete checkpoint after which a new
	// one is written, even without changes.
	Interval time.Duration
}

// takeoverDelay is how much longer each live node waits than the node ranked
// before it, before it writes to a checkpoint. A node also pauses for this time
// after it wrote parts or failed to write a mark.
const takeoverDelay = 20 * time.Second

// partInterval is the pause after each part of a checkpoint, which leaves log
// capacity to other writers.
const partInterval = 50 * time.Millisecond

// checkpointer writes checkpoints. A checkpoint starts with a mark record,
// followed by parts that hold the state at the mark. That state is the same on
// all nodes, so parts by different writers can be combined.
type checkpointer[V any] struct {
	store  *Store[V]
	policy CheckpointPolicy
	// rank returns this node's position among the live nodes in the order that
	// the seed determines; the node at 0 writes first.
	rank func(seed uint64) int
	// neededSince is when this node first found that a checkpoint after the one at
	// neededAfterMark is needed; zero if none is needed.
	neededSince     time.Time
	neededAfterMark int64
	// lastWrite is when this node last started to write a mark or parts, or finished
	// a part. It is zero after a mark was written, so that the parts of that mark
	// can follow without delay.
	lastWrite time.Time
}

// checkpointStatus describes the next checkpoint as far as this node has read the
// log.
type checkpointStatus[V any] struct {
	completeMark int64           // mark of the newest complete checkpoint
	needed       bool            // whether a mark or parts must be written
	mark         *markedState[V] // state at the newest mark if that is above completeMark, else nil
}

// tick writes the missing mark or the missing parts of the next checkpoint, if one
// is needed and it is this node's turn.
func (c *checkpointer[V]) tick(ctx context.Context) error {
	status := c.store.state.nextCheckpoint(c.policy)
	now := time.Now()
	if !status.needed {
		c.neededSince = time.Time{}
		return nil
	}
	if c.neededSince.IsZero() || c.neededAfterMark != status.completeMark {
		c.neededSince, c.neededAfterMark = now, status.completeMark
	}
	if now.Sub(c.lastWrite) < takeoverDelay {
		return nil
	}
	if status.mark == nil {
		return c.writeMark(ctx, status.completeMark)
	}
	return c.writeParts(ctx, status.mark)
}

// isTurn reports whether this node's wait of rank times takeoverDelay, counted from
// since, is over.
func (c *checkpointer[V]) isTurn(seed int64, since time.Time) bool {
	wait := time.Duration(c.rank(uint64(seed))) * takeoverDelay
	return time.Since(since) >= wait
}

func (c *checkpointer[V]) writeMark(ctx context.Context, completeMark int64) error {
	if !c.isTurn(completeMark, c.neededSince) {
		return nil
	}
	data, err := encode(envelope{Version: recordVersion, Type: typeMark})
	if err != nil {
		return err
	}
	c.lastWrite = time.Now()
	if err := c.store.append(ctx, data); err != nil {
		return err
	}
	c.lastWrite = time.Time{} // parts can follow once the mark has been read back
	return c.store.Poll(ctx)
}

// writeParts writes those parts of the checkpoint at a mark that this node has not
// read from the log yet.
func (c *checkpointer[V]) writeParts(ctx context.Context, m *markedState[V]) error {
	if !c.isTurn(m.offset, m.seenAt) {
		return nil
	}
	c.lastWrite = time.Now()
	image, err := encodeImage(m.snapshot, m.window)
	if err != nil {
		return err
	}
	for _, p := range splitImage(m.offset, image, c.store.maxRecord) {
		if c.store.state.hasPart(p) {
			continue
		}
		if err := c.writePart(ctx, p); err != nil {
			return err
		}
		c.lastWrite = time.Now()
	}
	return c.store.Poll(ctx)
}

func (c *checkpointer[V]) writePart(ctx context.Context, p part) error {
	data, err := encode(envelope{Version: recordVersion, Type: typePart, Part: &p})
	if err != nil {
		return err
	}
	if err := c.store.append(ctx, data); err != nil {
		return err
	}
	select {
	case <-time.After(partInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextCheckpoint returns the status of the next checkpoint.
func (s *state[V]) nextCheckpoint(p CheckpointPolicy) checkpointStatus[V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := checkpointStatus[V]{completeMark: s.completeMark}
	if s.mark != nil && s.mark.offset > s.completeMark {
		status.mark = s.mark
		status.needed = true
		return status
	}
	status.needed = s.changesSinceCheckpoint >= p.Changes || time.Since(s.checkpointSeenAt) >= p.Interval
	return status
}

// hasPart reports whether a part was read from the log.
func (s *state[V]) hasPart(p part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.parts.find(partSetID{p.Mark, p.Total, p.Sum})
	return set != nil && set.seen.Test(uint(p.Index))
}

// latestCompleteMark returns the mark of the newest complete checkpoint, 0 for none.
func (s *state[V]) latestCompleteMark() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeMark
}

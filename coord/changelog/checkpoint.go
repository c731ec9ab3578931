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

// takeoverDelay is the additional time that each live node waits, compared with
// the node ranked before it, before it takes over a checkpoint that is due.
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
	// the number determines; the node at 0 writes first.
	rank func(number uint64) int
	// dueSince is when this node first found the checkpoint that follows the one
	// with mark dueAfterMark to be due; zero if none is due.
	dueSince     time.Time
	dueAfterMark int64
	// lastWrite is when this node last started to write a mark or finished a part;
	// zero right after a mark, so that its parts can follow without delay.
	lastWrite time.Time
}

// checkpointStatus is a node's view of the next checkpoint.
type checkpointStatus[V any] struct {
	latestMark int64           // mark of the newest complete checkpoint
	due        bool            // a checkpoint is due
	mark       *markedState[V] // newest mark if above latestMark, else nil
}

// tick writes the missing mark or the missing parts of a checkpoint that is due,
// if it is this node's turn.
func (c *checkpointer[V]) tick(ctx context.Context) error {
	status := c.store.state.checkpointStatus(c.policy)
	now := time.Now()
	if !status.due {
		c.dueSince = time.Time{}
		return nil
	}
	if c.dueSince.IsZero() || c.dueAfterMark != status.latestMark {
		c.dueSince, c.dueAfterMark = now, status.latestMark
	}
	if now.Sub(c.lastWrite) < takeoverDelay {
		return nil
	}
	if status.mark == nil {
		return c.writeMark(ctx, status.latestMark)
	}
	return c.writeParts(ctx, status.mark)
}

// isTurn reports whether this node's takeover delay, counted from since, is over.
func (c *checkpointer[V]) isTurn(number int64, since time.Time) bool {
	wait := time.Duration(c.rank(uint64(number))) * takeoverDelay
	return time.Since(since) >= wait
}

func (c *checkpointer[V]) writeMark(ctx context.Context, latestMark int64) error {
	if !c.isTurn(latestMark, c.dueSince) {
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

// writeParts writes the parts of the checkpoint at a mark that no node has written
// yet.
func (c *checkpointer[V]) writeParts(ctx context.Context, m *markedState[V]) error {
	if !c.isTurn(m.offset, m.seen) {
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

// checkpointStatus returns whether a checkpoint is due, and its mark if one exists.
func (s *state[V]) checkpointStatus(p CheckpointPolicy) checkpointStatus[V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := checkpointStatus[V]{latestMark: s.latestCheckpoint}
	if s.mark != nil && s.mark.offset > s.latestCheckpoint {
		status.mark = s.mark
		status.due = true
		return status
	}
	status.due = s.changesSinceCheckpoint >= p.Changes || time.Since(s.checkpointSeenAt) >= p.Interval
	return status
}

// hasPart reports whether a part was read from the log.
func (s *state[V]) hasPart(p part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.parts.find(partSetID{p.Mark, p.Total, p.Sum})
	return set != nil && set.seen.Test(uint(p.Index))
}

// checkpointMark returns the mark of the newest complete checkpoint, 0 for none.
func (s *state[V]) checkpointMark() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestCheckpoint
}

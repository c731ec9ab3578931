package changelog

import "context"

// IsReader exports isReader for tests.
func (f *Follower[V]) IsReader() bool { return f.isReader() }

// SetLog replaces the log of a store that is not in use.
func (s *Store[V]) SetLog(log Log) { s.log = log }

// StartEmpty makes a store ready with the empty state.
func (s *Store[V]) StartEmpty() { s.state.startEmpty() }

// CheckpointMark returns the mark of the newest complete checkpoint seen.
func (s *Store[V]) CheckpointMark() int64 { return s.state.checkpointMark() }

// WriteCheckpoint writes a mark if there is none after the newest complete
// checkpoint, else at most the given number of the parts missing for that mark.
func (s *Store[V]) WriteCheckpoint(ctx context.Context, parts int) error {
	c := checkpointer[V]{store: s, rank: func(uint64) int { return 0 }}
	n := s.state.checkpointStatus(CheckpointPolicy{})
	if n.mark == nil {
		return c.writeMark(ctx, n.latestMark)
	}
	image, err := encodeImage(n.mark.snapshot, n.mark.window)
	if err != nil {
		return err
	}
	for _, p := range splitImage(n.mark.offset, image, s.maxRecord) {
		if parts == 0 {
			break
		}
		if s.state.hasPart(p) {
			continue
		}
		if err := c.writePart(ctx, p); err != nil {
			return err
		}
		parts--
	}
	return nil
}

// Overwrite replaces the state by an image of any offset, which Restore must not do.
func (s *Store[V]) Overwrite(image []byte) error {
	r, err := decodeImage(s.state.reducer.schema, image)
	if err != nil {
		return err
	}
	s.state.reducer = r
	s.state.publish()
	return nil
}

// SetApplied changes the offset of the state without applying records, which the
// package must never do.
func (s *Store[V]) SetApplied(offset int64) {
	s.state.reducer.draft.applied = offset
	s.state.publish()
}

// ApplySegment applies records as if they came from the log.
func (s *Store[V]) ApplySegment(seg Segment) error {
	_, err := s.state.apply(seg)
	return err
}

// Rank exports rank for tests.
func (f *Follower[V]) Rank(number uint64) int { return f.rank(number) }

// DropImage discards the cached image, so that the next Image encodes the state.
func (s *Store[V]) DropImage() { s.state.image = nil }

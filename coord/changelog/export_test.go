package changelog

import "context"

// IsReader exports isReader for tests.
func (f *Follower[V]) IsReader() bool { return f.isReader() }

// SetLog replaces the log of a store. No call to the store may be in progress.
func (s *Store[V]) SetLog(log Log) { s.log = log }

// StartEmpty makes a store ready with the empty state.
func (s *Store[V]) StartEmpty() { s.state.startEmpty() }

// CompleteMark returns the mark of the newest complete checkpoint that the store has
// read.
func (s *Store[V]) CompleteMark() int64 { return s.state.latestCompleteMark() }

// WriteCheckpoint writes a mark if there is none after the newest complete
// checkpoint, else at most the given number of the parts missing for that mark.
func (s *Store[V]) WriteCheckpoint(ctx context.Context, parts int) error {
	c := checkpointer[V]{store: s, rank: func(uint64) int { return 0 }}
	status := s.state.nextCheckpoint(CheckpointPolicy{})
	if status.mark == nil {
		return c.writeMark(ctx, status.completeMark)
	}
	image, err := encodeImage(status.mark.snapshot, status.mark.window)
	if err != nil {
		return err
	}
	for _, p := range splitImage(status.mark.offset, image, s.maxRecord) {
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

// ApplySegment applies the records of a segment as if they were read from the log.
func (s *Store[V]) ApplySegment(seg Segment) error {
	_, err := s.state.apply(seg)
	return err
}

// Rank exports rank for tests.
func (f *Follower[V]) Rank(seed uint64) int { return f.rank(seed) }

// DropImage discards the cached image, so that the next Image encodes the state.
func (s *Store[V]) DropImage() { s.state.image = nil }

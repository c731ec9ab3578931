package changelog

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// ErrNoCheckpoint reports that the log no longer retains its first record and holds
// no complete checkpoint, so the state cannot be reconstructed from the log.
var ErrNoCheckpoint = errors.New("the log holds no complete checkpoint")

// searchStep is the number of offsets that a search for a checkpoint reads at a
// time.
const searchStep = 512

// LoadFromLog loads the newest complete checkpoint in the log, searching backwards
// from the end. Without a checkpoint it starts from the empty state if the log
// still holds its first record, else it returns ErrNoCheckpoint. Poll applies the
// records after the checkpoint. A store that already has a state keeps it unless
// the checkpoint is newer.
func (s *Store[V]) LoadFromLog(ctx context.Context) error {
	b, err := s.readLog(ctx, 1)
	if err != nil {
		return err
	}
	image, err := s.findCheckpoint(ctx, b.First, b.Next)
	if errors.Is(err, ErrNoCheckpoint) && b.First <= 1 {
		s.state.startEmpty()
		return nil
	}
	if err != nil {
		return err
	}
	return s.state.restore(image)
}

// findCheckpoint returns the image of the newest checkpoint that is complete within
// [first, next) and whose following records are all retained. It returns
// ErrNoCheckpoint if there is none.
func (s *Store[V]) findCheckpoint(ctx context.Context, first, next int64) ([]byte, error) {
	parts := newSearchCollector()
	for to := next; to > first; {
		from := max(first, to-searchStep)
		records, err := s.readRange(ctx, from, to)
		if err != nil {
			return nil, err
		}
		for i := len(records) - 1; i >= 0; i-- {
			if image, ok := parts.addRecord(records[i], first); ok {
				return image, nil
			}
		}
		to = from
	}
	return nil, ErrNoCheckpoint
}

// addRecord adds a record and returns the image of the checkpoint that it completes,
// if any. It ignores checkpoints whose following records are no longer retained.
func (c *collector) addRecord(r Record, first int64) ([]byte, bool) {
	e, err := decodeRecord(r.Data)
	if err != nil || e.Type != typePart || e.Part.Mark+1 < first {
		return nil, false
	}
	set := c.add(*e.Part)
	if set == nil {
		return nil, false
	}
	return set.assemble()
}

// readRange returns the records in [from, to), or fewer if the replica that responds
// lags behind. It returns ErrCompacted (wrapped) if a record to be read is no longer
// retained.
func (s *Store[V]) readRange(ctx context.Context, from, to int64) ([]Record, error) {
	var all []Record
	for from < to {
		b, err := s.readLog(ctx, from)
		if err != nil {
			return nil, err
		}
		if b.First > from {
			return nil, fmt.Errorf("%w: read at offset %d", ErrCompacted, from)
		}
		seg, ok := segmentFromBatch(from, b)
		if !ok {
			break // the replica that responded lags behind
		}
		for _, r := range seg.Records {
			if r.Offset < to {
				all = append(all, r)
			}
		}
		from = seg.To
	}
	return all, nil
}

// Restore replaces the state by a peer's image (see Follower.Image). It does
// nothing if the image is not newer than the store's state.
func (s *Store[V]) Restore(image []byte) error { return s.state.restore(image) }

// Image returns the encoded state for Restore on another node. It returns
// ErrNotReady if no state is loaded. The caller must not modify the result.
func (s *Store[V]) Image() ([]byte, error) { return s.state.currentImage() }

// stripPartData returns the records without the data of checkpoint parts. A
// follower only needs to know that a part exists; a node that restores a
// checkpoint reads the data from the log.
func stripPartData(records []Record) []Record {
	stripped := slices.Clone(records)
	for i, r := range stripped {
		e, err := decodeRecord(r.Data)
		if err != nil || e.Type != typePart {
			continue
		}
		e.Part.Data = nil
		if data, err := encode(e); err == nil {
			stripped[i].Data = data
		}
	}
	return stripped
}

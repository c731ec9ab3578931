package quarantine

import (
	"context"
	"errors"
	"slices"

	"github.com/cherryward/cherryward/internal/follow"
)

// removal is the record of a hold that is to be removed, as an endpoint completed the request.
type removal struct {
	Hold
	// refusedAt is the end of the topic at which it was refused, as there were newer records. It isn't tried again
	// until these were read.
	refusedAt int64
}

// addRemoval makes Run remove the record of a hold.
func (s *Service) addRemoval(h *Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removals = append(s.removals, removal{Hold: *h, refusedAt: -1})
}

// dropRemovals forgets the removals of a request's record, as it has been removed.
func (s *Service) dropRemovals(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removals = slices.DeleteFunc(s.removals, func(r removal) bool { return r.Fingerprint == f })
}

// removeRecords removes the records of requests that completed successfully, and reports whether any is
// left. Requests that are held again keep theirs.
func (s *Service) removeRecords(ctx context.Context) (more bool) {
	s.mu.Lock()
	remaining := s.removals
	s.removals = nil
	s.mu.Unlock()
	for i := range remaining {
		if s.removeRecord(ctx, &remaining[i]) {
			continue
		}
		s.mu.Lock()
		s.removals = append(s.removals, remaining[i:]...)
		s.mu.Unlock()
		return true
	}
	return false
}

// removeRecord removes a record unless there is a newer hold, and reports whether that is done.
func (s *Service) removeRecord(ctx context.Context, r *removal) (done bool) {
	end := s.config.TopicEnd() // before the table is read, which then has all records up to it
	if s.heldAfter(&r.Hold) {
		return true
	}
	if end == r.refusedAt {
		return false
	}
	err := s.deleteRecord(ctx, r.Fingerprint, end)
	if errors.Is(err, follow.ErrChanged) {
		r.refusedAt = end
	}
	return err == nil
}

// deleteRecord removes a record from the topic if the topic still ends at the given offset: another node may have
// written a newer hold, also before the store executes a removal that it got earlier.
func (s *Service) deleteRecord(ctx context.Context, f Fingerprint, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := s.config.Topic.PutIf(ctx, keyOf(f), nil, end)
	if err != nil {
		s.config.Log.Warn().Str("event", "hold_not_removed").Stringer("fingerprint", f).Int64("end", end).AnErr("error", err).Send()
	}
	return err
}

// removeExpired removes holds that ended long ago from the table. The first coordinator also removes
// their records.
func (s *Service) removeExpired(ctx context.Context) {
	end := s.config.TopicEnd() // before the holds are read
	now, peers := s.config.Now(), s.config.Peers()
	for _, h := range s.Holds() {
		if !h.Expired(now) {
			continue
		}
		if s.coordinators(h.Fingerprint, peers)[0] == s.config.Node && s.deleteRecord(ctx, h.Fingerprint, end) != nil {
			continue
		}
		s.Table.Clear(h.Fingerprint)
	}
}

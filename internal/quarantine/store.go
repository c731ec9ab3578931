package quarantine

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// recordHolds records what this node holds and the topic doesn't, and reports whether any is left.
func (s *Service) recordHolds(ctx context.Context, peers map[string]netip.AddrPort) (more bool) {
	now := s.config.Now()
	for _, h := range s.Holds() {
		if h.Recorded || !now.Before(h.Until) {
			continue
		}
		rank := slices.Index(s.assessors(h.Fingerprint, peers), s.config.Node)
		if rank < 0 {
			continue
		}
		if now.Sub(h.Since) < time.Duration(rank)*recordPause || now.Sub(s.tried) < recordPause || !s.record(ctx, &h) {
			more = true
		}
	}
	return more
}

// record writes a held request, and reports whether it is there.
func (s *Service) record(ctx context.Context, h *Hold) bool {
	value, err := h.encode(s.config.Node)
	if err == nil {
		err = s.put(ctx, h.Fingerprint, value)
	}
	if err != nil {
		s.tried = s.config.Now()
		return false
	}
	s.Recorded(h.Fingerprint)
	s.spread(h)
	s.recorded = append(s.recorded, *h)
	return true
}

// spreadAgain tells all nodes once more of what was recorded since, as messages may be lost.
func (s *Service) spreadAgain() {
	for i := range s.recorded {
		s.spread(&s.recorded[i])
	}
	s.recorded = nil
}

// spread tells all nodes of a held request: those of a large system that read the topic by others
// learn of it some seconds later else, and the next assessors write another record.
func (s *Service) spread(h *Hold) {
	peers := slices.Collect(maps.Values(s.config.Peers()))
	n := news{Endings: h.endings(), Recorded: true}
	for m := range n.messages() {
		s.config.Conn.Notify(peers, method, m)
	}
}

// removeRecords removes the records of requests that ran to a good end, and reports whether any is
// left.
func (s *Service) removeRecords(ctx context.Context) (more bool) {
	s.mu.Lock()
	gone := s.gone
	s.gone = nil
	s.mu.Unlock()
	for i, f := range gone {
		if s.put(ctx, f, nil) == nil {
			continue
		}
		s.mu.Lock()
		s.gone = append(s.gone, gone[i:]...)
		s.mu.Unlock()
		return true
	}
	return false
}

func (s *Service) put(ctx context.Context, f Fingerprint, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := s.config.Topic.Put(ctx, keyOf(f), value)
	if err != nil {
		s.config.Log.Warn().Str("event", "hold_unrecorded").Stringer("fingerprint", f).AnErr("error", err).Send()
	}
	return err
}

// forget drops holds that ended long ago. The first assessor removes their records.
func (s *Service) forget(ctx context.Context) {
	now, peers := s.config.Now(), s.config.Peers()
	for _, h := range s.Holds() {
		if !h.Expired(now) {
			continue
		}
		if s.assessors(h.Fingerprint, peers)[0] == s.config.Node && s.put(ctx, h.Fingerprint, nil) != nil {
			continue
		}
		s.Table.Clear(h.Fingerprint)
	}
}

package quarantine

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// recordHolds writes missing records of holds to the topic if it is this node's turn, and reports
// whether this node must try again.
func (s *Service) recordHolds(ctx context.Context, peers map[string]netip.AddrPort) (more bool) {
	now := s.config.Now()
	s.mu.Lock()
	recordFrom := s.recordFrom
	s.mu.Unlock()
	for _, h := range s.Holds() {
		if h.Recorded || !now.Before(h.Until) {
			continue
		}
		rank := slices.Index(s.coordinators(h.Fingerprint, peers), s.config.Node)
		if rank < 0 {
			continue
		}
		turn := h.Since
		if turn.Before(recordFrom) {
			turn = recordFrom
		}
		if now.Sub(turn) < time.Duration(rank)*recordInterval || now.Sub(s.lastFailure) < recordInterval || !s.writeRecord(ctx, &h) {
			more = true
		}
	}
	return more
}

// writeRecord writes the record of a held request, and reports whether that succeeded. If the topic came back from an
// older copy meanwhile, the record may be lost.
func (s *Service) writeRecord(ctx context.Context, h *Hold) bool {
	before := s.restores.Load()
	value, err := h.encode(s.config.Node)
	if err == nil {
		err = s.put(ctx, h.Fingerprint, value)
	}
	if err != nil {
		s.lastFailure = s.config.Now()
		return false
	}
	s.MarkRecorded(h.Fingerprint)
	if s.restores.Load() != before { // read last: a restore after it marks the hold again
		s.markUnrecorded(h.Fingerprint)
		return false
	}
	s.broadcast(h)
	s.toRebroadcast = append(s.toRebroadcast, *h)
	return true
}

// rebroadcast sends the holds recorded in the previous step once more, because messages may be lost.
func (s *Service) rebroadcast() {
	for i := range s.toRebroadcast {
		s.broadcast(&s.toRebroadcast[i])
	}
	s.toRebroadcast = nil
}

// broadcast sends a recorded hold to all nodes. In a large system, nodes that read the topic through
// others would otherwise receive it some seconds later, and the next coordinators would write another
// record.
func (s *Service) broadcast(h *Hold) {
	s.notifyAll(report{Endings: h.endings(), Recorded: true})
}

// notifyAll sends a report to all other nodes.
func (s *Service) notifyAll(r report) {
	s.notify(slices.Collect(maps.Values(s.config.Peers())), &r)
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

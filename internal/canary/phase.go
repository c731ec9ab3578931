package canary

import (
	"context"
	"time"
)

// judge judges an order and, if this node is to act, records its next phase.
func (s *Service) judge(ctx context.Context, o *orderState, w *orderWork, rank int, now time.Time) {
	verdict := Judge(s.evidence(o, w, now))
	if verdict.Phase != w.wanted {
		w.wanted, w.wantedSince = verdict.Phase, now
	}
	if verdict.Phase == o.phase || now.Sub(w.wantedSince) < time.Duration(rank)*judgeDelay {
		return
	}
	if verdict.Phase == RolledBack && !o.held {
		s.config.Gate.hold(o.Service, o.ID)
		s.notify(notice{Service: o.Service, Order: o.ID, Held: true})
	}
	if !verdict.Phase.mayFollow(o.phase) {
		return
	}
	err := s.recordPhase(ctx, o, verdict.Phase)
	s.config.Log.Info().Str("event", "release_order_judged").Str("service", o.Service).Str("release", o.Release).Int64("order", o.ID).
		Stringer("phase", verdict.Phase).Str("why", verdict.Reason).Int64("after_ms", now.Sub(o.ReadAt).Milliseconds()).AnErr("error", err).Send()
}

// restorePhase records an order's phase again if the topic lacks it and this node is to act.
func (s *Service) restorePhase(ctx context.Context, o *orderState, w *orderWork, rank int, now time.Time) {
	switch {
	case !o.unrecorded:
		w.unrecordedSince = time.Time{}
	case w.unrecordedSince.IsZero():
		w.unrecordedSince = now
	case now.Sub(w.unrecordedSince) >= time.Duration(rank+1)*judgeDelay:
		err := s.recordPhase(ctx, o, o.phase)
		s.config.Log.Info().Str("event", "release_order_restored").Str("service", o.Service).Str("release", o.Release).Int64("order", o.ID).
			Stringer("phase", o.phase).AnErr("error", err).Send()
	}
}

// recordPhase writes an order's phase and tells the other nodes, on condition that the topic has no records
// that this node has not read. If another record was written meanwhile, or the store failed, the next step
// tries again.
func (s *Service) recordPhase(ctx context.Context, o *orderState, phase Phase) error {
	value, err := encodeRecord(o.ID, phase, s.config.Node)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := s.config.Topic.PutIf(ctx, keyPrefix+o.Service, value, s.config.TopicEnd()); err != nil {
		return err
	}
	s.config.Gate.setRecorded(o.Service, o.ID, phase)
	s.notify(notice{Service: o.Service, Order: o.ID, Phase: phase.String()})
	return nil
}

// tellOperators writes the status of an order after each change of its recorded phase. The judges write
// it one after the other: the first may have been lost between the record and the status.
func (s *Service) tellOperators(ctx context.Context, o *orderState, w *orderWork, rank int, now time.Time) {
	if w.statusKnown && w.statusPhase == o.phase || now.Sub(w.phaseAt) < time.Duration(rank)*judgeDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := s.config.WriteStatus(ctx, Status{Service: o.Service, Release: o.Release, Phase: o.phase}); err != nil {
		s.config.Log.Warn().Str("event", "release_status_unwritten").Str("service", o.Service).AnErr("error", err).Send()
		return
	}
	w.statusKnown, w.statusPhase = true, o.phase
}

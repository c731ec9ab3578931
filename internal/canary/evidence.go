package canary

import (
	"context"
	"maps"
	"slices"
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
	if err != nil {
		return // another record was written meanwhile, or the store failed: the next step tries again
	}
	s.config.Gate.setRecorded(o.Service, o.ID, verdict.Phase)
	s.notify(notice{Service: o.Service, Order: o.ID, Phase: verdict.Phase.String()})
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
		if err != nil {
			return // as in judge
		}
		s.config.Gate.setRecorded(o.Service, o.ID, o.phase)
		s.notify(notice{Service: o.Service, Order: o.ID, Phase: o.phase.String()})
	}
}

// recordPhase writes an order's phase on condition that the topic has no records that this node has not
// read.
func (s *Service) recordPhase(ctx context.Context, o *orderState, phase Phase) error {
	value, err := encodeRecord(o.ID, phase, s.config.Node)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return s.config.Topic.PutIf(ctx, keyPrefix+o.Service, value, s.config.TopicEnd())
}

// evidence returns what this node and the reports of the others say about an order.
func (s *Service) evidence(o *orderState, w *orderWork, now time.Time) *Evidence {
	e := &Evidence{
		Phase: o.phase, Held: o.held, Elapsed: now.Sub(o.ReadAt), Within: o.Within,
		OldInFlight: s.config.InFlight(o.Service, o.Release),
	}
	if o.phase == Promoting {
		e.Promoted = now.Sub(w.phaseAt)
	}
	rows := make(map[string]*Row)
	addRows(rows, o.rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reports[o.Service] {
		if r.Order != o.ID || r.Node == s.config.Node {
			continue
		}
		addRows(rows, r.Rows)
		sinceReport := now.Sub(r.at)
		e.Elapsed = max(e.Elapsed, time.Duration(r.AgeMS)*time.Millisecond+sinceReport) // this node may have restarted
		if sinceReport < 2*reportInterval(len(s.reports[o.Service]))+silenceMargin {    // else that node is gone
			e.OldInFlight += r.OldInFlight
		}
	}
	for _, route := range slices.Sorted(maps.Keys(rows)) {
		e.Rows = append(e.Rows, *rows[route])
	}
	return e
}

func addRows(sums map[string]*Row, rows []Row) {
	for i := range rows {
		sum := sums[rows[i].Route]
		if sum == nil {
			sum = &Row{Route: rows[i].Route}
			sums[rows[i].Route] = sum
		}
		sum.Old.sum(&rows[i].Old)
		sum.New.sum(&rows[i].New)
	}
}

package canary

import (
	"maps"
	"slices"
	"time"
)

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

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
		if sinceReport < s.recentReport() {                                             // else that node is gone, or unheard
			e.OldInFlight += r.OldInFlight
		}
	}
	if o.phase == Promoting {
		e.Unheard = s.unheard(o, now)
	}
	for _, route := range slices.Sorted(maps.Keys(rows)) {
		e.Rows = append(e.Rows, *rows[route])
	}
	return e
}

// unheard returns the number of other listed nodes that may have requests at old endpoints for all that this node
// knows: they haven't reported since they learned that the order is promoted, or not lately. s.mu is held.
func (s *Service) unheard(o *orderState, now time.Time) int {
	reports := s.reports[o.Service]
	count := 0
	for name := range s.peers {
		r, reported := reports[name]
		if name != s.config.Node && (!reported || r.Order != o.ID || !r.knows(o.phase) || now.Sub(r.at) >= s.recentReport()) {
			count++
		}
	}
	return count
}

// recentReport returns the age up to which a report counts as recent.
func (s *Service) recentReport() time.Duration { return 2*reportInterval(len(s.peers)) + silenceMargin }

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

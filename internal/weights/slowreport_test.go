package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// slowReports simulates engines whose reports take a while to arrive.
type slowReports struct {
	*engines
	took map[string]time.Duration
}

func (m slowReports) Report(ctx context.Context, at *fleet.Endpoint) (Report, error) {
	report, err := m.engines.Report(ctx, at)
	select {
	case <-ctx.Done():
		return Report{}, ctx.Err()
	case <-time.After(m.took[at.ID]):
		return report, err
	}
}

// everyNth returns the same time for every nth engine.
func everyNth(ids []string, n int, d time.Duration) map[string]time.Duration {
	times := make(map[string]time.Duration)
	for i, id := range ids {
		if i%n == 0 {
			times[id] = d
		}
	}
	return times
}

// TestEnginesSlowToReportAreClosedOnceAndLoaded checks that engines are neither closed again and again nor
// left with older weights because their reports take long.
func TestEnginesSlowToReportAreClosedOnceAndLoaded(t *testing.T) {
	for _, tc := range []struct {
		name  string
		took  time.Duration
		nth   int // every nth engine is slow
		limit time.Duration
	}{
		{"all 200 ms", 200 * time.Millisecond, 1, beginLimit},
		{"all 300 ms", 300 * time.Millisecond, 1, beginLimit},
		{"a third 300 ms", 300 * time.Millisecond, 3, beginLimit},
		{"all 500 ms", 500 * time.Millisecond, 1, beginLimit},
		{"a third 500 ms", 500 * time.Millisecond, 3, beginLimit},
		{"all 1 s", time.Second, 1, allLimit},
		{"a third 1 s", time.Second, 3, allLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := ninetyEngines()
				sim.reporter = slowReports{sim.engines, everyNth(sim.ids, tc.nth, tc.took)}
				r := sim.rollOut(t, 1)
				t.Log(&r)
				test.LessEq(t, tc.limit, r.took)
				test.Eq(t, 1, r.mostClosings())
			})
		})
	}
}

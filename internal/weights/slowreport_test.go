package weights

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// slowReports simulates engines whose reports take a while to arrive.
type slowReports struct {
	*engines
	took     map[string]time.Duration
	requests *requestCounts // may be nil
}

func (m slowReports) Report(ctx context.Context, at *fleet.Endpoint) (Report, error) {
	defer m.requests.count(at.ID)()
	report, err := m.engines.Report(ctx, at)
	select {
	case <-ctx.Done():
		return Report{}, ctx.Err()
	case <-time.After(m.took[at.ID]):
		return report, err
	}
}

// requestCounts counts the requests for reports. The nil value counts none.
type requestCounts struct {
	mu          sync.Mutex
	latest      map[string]time.Time // time of the latest request, by engine
	outstanding map[string]int       // by engine
	most        int                  // largest number outstanding at one engine
	shortest    time.Duration        // shortest time between two requests to one engine
}

func newRequestCounts() *requestCounts {
	return &requestCounts{latest: make(map[string]time.Time), outstanding: make(map[string]int), shortest: unlimited}
}

// count counts a request to an engine. The caller must call the result when the request ends.
func (c *requestCounts) count(id string) (ended func()) {
	if c == nil {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest, exists := c.latest[id]; exists {
		c.shortest = min(c.shortest, time.Since(latest))
	}
	c.latest[id] = time.Now()
	c.outstanding[id]++
	c.most = max(c.most, c.outstanding[id])
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outstanding[id]--
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
				requests := newRequestCounts()
				sim.reporter = slowReports{sim.engines, everyNth(sim.ids, tc.nth, tc.took), requests}
				r := sim.rollOut(t, 1)
				t.Log(&r)
				test.LessEq(t, tc.limit, r.took)
				test.Eq(t, 1, r.mostClosings())
				test.LessEq(t, maxOutstanding, requests.most)
				test.GreaterEq(t, reportInterval, requests.shortest)
			})
		})
	}
}

// TestOvertakenReportChangesNothing guards against an older report of an engine that arrives after a newer one.
func TestOvertakenReportChangesNothing(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(&fleet.Endpoint{ID: "a", Service: "s", Addr: "127.0.0.1:1", Weights: []fleet.Weights{{Model: model, Version: 1}}}, time.Now())
	m := f.All()[0]
	j := &job{model: model, version: 2}
	s := &Service{jobs: map[string]*job{"a": j}}
	s.Log = zerolog.Nop()
	now := time.Now()
	weights := []fleet.Weights{{Model: model, Version: 1}}
	newer := engineCheck{member: m, job: j, requestedAt: now, report: Report{Weights: weights, Orders: 1}}
	older := engineCheck{member: m, job: j, requestedAt: now.Add(-reportInterval), report: Report{Weights: weights, Busy: true}}
	s.updateJob(&newer)
	must.NotNil(t, j.idle)
	s.updateJob(&older)
	test.Eq(t, &newer, j.idle)
}

package weights

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/fleet"
)

// lateLog is a log some of whose appends take a while.
type lateLog struct {
	*memLog
	appends atomic.Int64
	delay   func(append int) time.Duration // append counts from 1
}

func (l *lateLog) Append(ctx context.Context, data []byte) (int64, error) {
	number := int(l.appends.Add(1))
	time.Sleep(l.delay(number))
	return l.memLog.Append(ctx, data)
}

// stalls simulates hosts whose processes stand still for a while, at regular intervals after a version was
// requested.
type stalls struct {
	first    time.Time
	interval time.Duration
	length   time.Duration
}

// pass returns once the processes run.
func (s *stalls) pass() {
	since := time.Since(s.first)
	if since < 0 {
		return
	}
	time.Sleep(s.length - since%s.interval)
}

// stallingLog is the log as seen from hosts that stall.
type stallingLog struct {
	*memLog
	*stalls
}

func (l stallingLog) Append(ctx context.Context, data []byte) (int64, error) {
	l.pass()
	return l.memLog.Append(ctx, data)
}

func (l stallingLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	l.pass()
	return l.memLog.Read(ctx, from, limit)
}

// stallingEngines are the engines as seen from hosts that stall.
type stallingEngines struct {
	*engines
	*stalls
}

func (e stallingEngines) Report(ctx context.Context, at *fleet.Endpoint) (Report, error) {
	e.pass()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	return e.engines.Report(ctx, at)
}

func (e stallingEngines) Order(ctx context.Context, at *fleet.Endpoint, o Order) (Reply, error) {
	e.pass()
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return e.engines.Order(ctx, at, o)
}

// TestLateRenewalDoesNotStopARollout checks that the holder of a claim goes on once a late renewal has arrived,
// without the wait that is meant for other holders.
func TestLateRenewalDoesNotStopARollout(t *testing.T) {
	once := func(append int) bool { return append == 3 }
	third := func(append int) bool { return append%3 == 0 }
	renewals := func(append int) bool { return append > 1 }
	for _, tc := range []struct {
		name  string
		late  time.Duration
		slow  func(append int) bool
		limit time.Duration
	}{
		{"once 0.3 s", 300 * time.Millisecond, once, beginLimit},
		{"once 0.8 s", 800 * time.Millisecond, once, beginLimit},
		{"once 1.5 s", 1500 * time.Millisecond, once, beginLimit},
		{"once 2.5 s", 2500 * time.Millisecond, once, beginLimit},
		{"every third 0.8 s", 800 * time.Millisecond, third, allLimit},
		{"every third 1.5 s", 1500 * time.Millisecond, third, allLimit},
		{"every third 2.5 s", 2500 * time.Millisecond, third, allLimit},
		{"all 0.3 s", 300 * time.Millisecond, renewals, allLimit},
		{"all 0.8 s", 800 * time.Millisecond, renewals, allLimit},
		{"all 1.2 s", 1200 * time.Millisecond, renewals, allLimit},
	} {
		for _, nodes := range []int{1, 3} {
			t.Run(fmt.Sprint(tc.name, " at ", nodes, " nodes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := ninetyEngines()
					sim.claims = &lateLog{memLog: sim.log, delay: func(append int) time.Duration {
						if tc.slow(append) {
							return tc.late
						}
						return 0
					}}
					r := sim.rollOut(t, nodes)
					t.Log(&r)
					test.LessEq(t, tc.limit, r.took)
					sim.checkOrders(t)
				})
			})
		}
	}
}

// TestStallsDoNotStopARollout checks that all engines are updated although all nodes stand still again and again.
func TestStallsDoNotStopARollout(t *testing.T) {
	for _, tc := range []struct {
		name             string
		length, interval time.Duration
		limit            time.Duration
	}{
		{"once 1.5 s", 1500 * time.Millisecond, time.Hour, beginLimit},
		{"once 2.5 s", 2500 * time.Millisecond, time.Hour, beginLimit},
		{"0.8 s of 2 s", 800 * time.Millisecond, 2 * time.Second, allLimit},
		{"1.5 s of 4 s", 1500 * time.Millisecond, 4 * time.Second, allLimit},
		{"2.5 s of 6 s", 2500 * time.Millisecond, 6 * time.Second, allLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const untilFirstOrders = 2300 * time.Millisecond
				sim := ninetyEngines()
				s := &stalls{first: time.Now().Add(time.Second + untilFirstOrders), interval: tc.interval, length: tc.length}
				sim.claims = stallingLog{sim.log, s}
				sim.reporter = stallingEngines{sim.engines, s}
				r := sim.rollOut(t, 3)
				t.Log(&r)
				test.LessEq(t, tc.limit, r.took)
				sim.checkOrders(t)
			})
		})
	}
}

// cutLog is the log as seen from a node that loses its path to it. Appends then arrive once the path is back.
type cutLog struct {
	*memLog
	cutUntil atomic.Pointer[time.Time]
}

// cut takes the path away for a while.
func (l *cutLog) cut(d time.Duration) {
	until := time.Now().Add(d)
	l.cutUntil.Store(&until)
}

func (l *cutLog) await(ctx context.Context) error {
	until := l.cutUntil.Load()
	if until == nil {
		return nil
	}
	retry.Sleep(ctx, time.Until(*until))
	return ctx.Err()
}

func (l *cutLog) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.await(ctx); err != nil {
		go func() {
			l.await(context.Background())
			l.memLog.Append(context.Background(), data)
		}()
		return 0, err
	}
	return l.memLog.Append(ctx, data)
}

func (l *cutLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	if err := l.await(ctx); err != nil {
		return nil, 0, err
	}
	return l.memLog.Read(ctx, from, limit)
}

// TestHolderCutOffFromTheLogDoesNotOrderBesideItsSuccessor checks that a holder that loses its path to the log for a
// while, and resumes its claim then, never orders within the lease of another holder.
func TestHolderCutOffFromTheLogDoesNotOrderBesideItsSuccessor(t *testing.T) {
	for d := time.Second; d < 12*time.Second; d += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			sim := ninetyEngines()
			logs := make(map[string]*cutLog)
			var stops []func()
			for _, name := range []string{"n1", "n2", "n3"} {
				logs[name] = &cutLog{memLog: sim.log}
				sim.claims = logs[name]
				stops = append(stops, sim.startNode(t, name))
			}
			time.Sleep(time.Second)
			sim.requestVersion(2)
			for len(sim.orders()) < 30 {
				time.Sleep(10 * time.Millisecond)
			}
			logs[sim.orders()[29].Holder].cut(d)
			time.Sleep(40 * time.Second)
			test.Eq(t, 0, sim.outdatedExcept(nil, 2), test.Sprint(d))
			sim.checkOrders(t)
			for _, stop := range stops {
				stop()
			}
		})
	}
}

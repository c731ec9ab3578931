package enginestate

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const rate = 1000 // tokens per second of the test engine

var epoch = time.Unix(1000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * 1e9)) }

func newEngine() *Engine {
	return New(epoch, Config{Classes: []fairqueue.Class{{Weight: 4}, {Weight: 1}}, MaxQueue: 100, MaxRunning: 4, PrefillRate: rate})
}

func request(run string, tokens int, edit ...func(*Request)) Request {
	r := Request{Run: run, Model: "m", Account: fairqueue.Account{ID: "a", Weight: 1}, PromptTokens: tokens}
	for _, f := range edit {
		f(&r)
	}
	return r
}

func deadline(seconds float64) func(*Request) {
	return func(r *Request) { r.Deadline = at(seconds) }
}

func granted(c Changes) []string {
	var runs []string
	for _, g := range c.Granted {
		runs = append(runs, g.Run)
	}
	return runs
}

func TestGrantsOneAfterAnother(t *testing.T) {
	e := newEngine()
	must.NoError(t, e.Request(at(0), request("r1", 2000)))
	must.NoError(t, e.Request(at(0), request("r2", 1000)))
	test.ErrorIs(t, e.Request(at(0), request("r1", 1)), ErrDuplicate)
	test.Eq(t, []string{"r1"}, granted(e.Tick(at(0))))
	got := e.Estimate(at(0.5), request("r3", 100))
	test.InDelta(t, 1.5+1.02, got.Wait.Seconds(), 0.01) // remaining prefill of r1, then r2
	test.SliceEmpty(t, e.Tick(at(1)).Granted)
	// The next run is granted shortly before the predicted end of the first, and
	// not while the first is overdue.
	test.Eq(t, []string{"r2"}, granted(e.Tick(at(1.96))))
	must.NoError(t, e.Request(at(2), request("r3", 100)))
	test.SliceEmpty(t, e.Tick(at(3.0)).Granted)
	e.FirstToken(at(4), "r1", 2000, 0) // half as fast as predicted
	e.FirstToken(at(6), "r2", 1000, 0)
	test.Eq(t, []string{"r3"}, granted(e.Tick(at(6))))
	test.InDelta(t, 500, e.Estimate(at(6), request("r4", 100)).PrefillRate, 1)
}

func TestShedAndExpire(t *testing.T) {
	e := newEngine()
	must.NoError(t, e.Request(at(0), request("r1", 3000)))
	e.Tick(at(0))
	err := e.Request(at(0), request("r2", 1000, deadline(3)))
	var refused *RefusedError
	must.True(t, errors.As(err, &refused))
	test.Positive(t, refused.RetryAfter)
	must.NoError(t, e.Request(at(0), request("r3", 1000, deadline(4.5))))
	test.SliceEmpty(t, e.Tick(at(1)).Expired)
	changes := e.Tick(at(3.9)) // r1 is overdue, r3 can't meet its deadline
	must.Len(t, 1, changes.Expired)
	test.EqOp(t, "r3", changes.Expired[0].Run)
	test.False(t, e.Cancel("r3"))
}

func TestSlowImportIsAbandoned(t *testing.T) {
	importing := func(r *Request) { r.ImportTokens = 3000; r.ImportPatience = 3500 * time.Millisecond }
	e := newEngine()
	must.NoError(t, e.Request(at(0), request("imp", 4000, importing)))
	must.NoError(t, e.Request(at(0), request("other", 100)))
	test.Eq(t, []string{"other"}, granted(e.Tick(at(0))))
	e.FirstToken(at(0.1), "other", 100, 0)
	e.ImportDone("imp", 2000) // 2000 of 3000 tokens
	changes := e.Tick(at(0.5))
	must.Eq(t, []string{"imp"}, granted(changes))
	test.EqOp(t, 2000, changes.Granted[0].Compute)

	e = newEngine()
	must.NoError(t, e.Request(at(0), request("imp", 4000, importing)))
	test.SliceEmpty(t, e.Tick(at(0)).Recompute)
	next, ok := e.NextTick(at(0))
	must.True(t, ok)
	test.Eq(t, at(3.5), next) // ImportPatience has passed
	changes = e.Tick(next)
	test.Eq(t, []string{"imp"}, changes.Recompute)
	test.EqOp(t, 4000, changes.Granted[0].Compute)
	e = newEngine()
	must.NoError(t, e.Request(at(0), request("imp", 4000, importing, deadline(9))))
	e.Tick(at(0))
	next, _ = e.NextTick(at(0))
	test.Eq(t, at(1), next) // deadline minus twice the time to compute the whole prompt
}

func TestRotationAfterFailuresAndProbe(t *testing.T) {
	e := newEngine()
	fail := func(from, to float64, runs ...string) {
		for _, run := range runs {
			must.NoError(t, e.Request(at(from), request(run, 10)))
		}
		must.Len(t, len(runs), e.Tick(at(from)).Granted)
		for _, run := range runs {
			e.Release(at(to), run, Observed{Outcome: Failed})
		}
	}
	fail(0, 0.3, "a", "b", "c", "d") // one failure, however many runs it ends
	test.True(t, e.Estimate(at(0.4), request("x", 1)).InRotation)
	fail(0.4, 0.6, "e")
	test.True(t, e.Estimate(at(0.7), request("x", 1)).InRotation)
	must.NoError(t, e.Request(at(0.7), request("f", 10)))
	must.Len(t, 1, e.Tick(at(0.7)).Granted)
	must.NoError(t, e.Request(at(0.8), request("queued", 10)))
	e.Release(at(1), "f", Observed{Outcome: Failed})
	changes := e.Tick(at(1))
	must.Len(t, 1, changes.Displaced)
	test.EqOp(t, "queued", changes.Displaced[0].Run)
	test.False(t, e.Estimate(at(1), request("x", 1)).InRotation)
	test.Error(t, e.Request(at(1.5), request("x", 1)))
	must.NoError(t, e.Request(at(2.1), request("probe", 10)))
	test.Eq(t, []string{"probe"}, granted(e.Tick(at(2.1))))
	must.NoError(t, e.Request(at(2.1), request("behind", 10)))
	test.Len(t, 0, e.Tick(at(2.1)).Granted) // one probe at a time
	test.GreaterEq(t, time.Second, e.Estimate(at(2.2), request("x", 1)).Wait)
	e.Release(at(2.2), "probe", Observed{Outcome: Failed})
	test.EqOp(t, "behind", e.Tick(at(2.2)).Displaced[0].Run)
	test.False(t, e.Estimate(at(4), request("x", 1)).InRotation) // the pause doubles
	must.NoError(t, e.Request(at(4.3), request("probe2", 10)))
	e.Tick(at(4.3))
	e.Release(at(5), "probe2", Observed{Outcome: Completed, FirstToken: 1, Total: 2})
	test.True(t, e.Estimate(at(5), request("x", 1)).InRotation)
}

// TestLostProbeIsReplaced checks that another run becomes the probe if the node that holds the
// probe's grant fails.
func TestLostProbeIsReplaced(t *testing.T) {
	e := newEngine()
	for i := range maxFailures {
		must.NoError(t, e.Request(at(0), request(fmt.Sprint(i), 10)))
		e.Tick(at(0))
		e.Release(at(0), fmt.Sprint(i), Observed{Outcome: Failed})
	}
	must.NoError(t, e.Request(at(2), request("probe", 10, deadline(10))))
	test.Eq(t, []string{"probe"}, granted(e.Tick(at(2))))
	must.NoError(t, e.Request(at(39), request("behind", 10)))
	test.Len(t, 0, e.Tick(at(39)).Granted)
	test.Eq(t, []string{"behind"}, granted(e.Tick(at(41))))
}

// TestFirstTokenIsNeverInTheFuture checks that a first token reported with a future time does not
// delay the next run.
func TestFirstTokenIsNeverInTheFuture(t *testing.T) {
	e := newEngine()
	must.NoError(t, e.Request(at(0), request("r1", 10)))
	e.Tick(at(0))
	e.Release(at(1), "r1", Observed{Outcome: Abandoned, FirstToken: time.Hour, Total: time.Second})
	must.NoError(t, e.Request(at(1), request("r2", 10)))
	test.Eq(t, []string{"r2"}, granted(e.Tick(at(1))))
}

func TestReportsCountOnlyForeignWork(t *testing.T) {
	e := newEngine()
	must.NoError(t, e.Request(at(0), request("r1", 10000)))
	e.Tick(at(0))
	own := e.Estimate(at(1), request("x", 1)).Wait
	e.Report(at(1), Load{Running: 1, WaitingTokens: 10000, Age: time.Second})
	test.Eq(t, own, e.Estimate(at(1), request("x", 1)).Wait)
	e.Report(at(1), Load{Running: 2, WaitingTokens: 14000, Age: time.Second})
	test.Eq(t, own+2*time.Second, e.Estimate(at(1), request("x", 1)).Wait) // a report of this age has half its weight
	test.Less(t, 9*time.Second, e.Estimate(at(11), request("x", 1)).Wait)  // and the estimate decays
	e.Report(at(20), Load{Running: 2, Age: -time.Hour})                    // the engine's clock is wrong
	test.InDelta(t, 1, e.foreign.runs, 0.01)
}

func TestAdoptAndLostRelease(t *testing.T) {
	old, e := newEngine(), newEngine()
	must.NoError(t, old.Request(at(0), request("r1", 5000, deadline(20))))
	g := old.Tick(at(0)).Granted[0]
	e.Adopt(g)
	e.Adopt(g)
	test.EqOp(t, 1, e.Estimate(at(1), request("x", 1)).Running)
	test.InDelta(t, 4, e.Estimate(at(1), request("x", 1)).Wait.Seconds(), 0.01)
	e.Tick(at(60)) // never released
	test.EqOp(t, 0, e.Estimate(at(60), request("x", 1)).Running)
}

// TestRequestsEndOnce checks that each request ends exactly once, and that the granted runs never
// exceed the batch.
func TestRequestsEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now, ended, requested := newEngine(), 0.0, map[string]int{}, 0
		var running []string
		record := func(c Changes) {
			for _, g := range c.Granted {
				ended[g.Run]++
				running = append(running, g.Run)
			}
			for _, r := range append(c.Expired, c.Displaced...) {
				ended[r.Run]++
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 1).Draw(t, "dt")
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 2:
				r := request(fmt.Sprint(requested), rapid.IntRange(1, 3000).Draw(t, "tokens"))
				r.Account.Class = rapid.IntRange(0, 1).Draw(t, "class")
				if op == 1 {
					r.Deadline = at(now + rapid.Float64Range(0.1, 9).Draw(t, "left"))
				}
				if op == 2 {
					r.ImportTokens, r.ImportPatience = r.PromptTokens/2, 2*time.Second
				}
				if e.Request(at(now), r) == nil {
					requested++
				}
			case op == 3 && requested > 0:
				e.ImportDone(fmt.Sprint(rapid.IntRange(0, requested-1).Draw(t, "run")), 100)
			case len(running) > 0:
				outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
				e.Release(at(now), running[0], Observed{Outcome: outcome, FirstToken: 1, Total: 2, Prompt: 500})
				running = running[1:]
			}
			record(e.Tick(at(now)))
			must.LessEq(t, 4, len(running))
		}
		for i := range requested {
			run := fmt.Sprint(i)
			if e.Cancel(run) {
				ended[run]++
			}
			must.EqOp(t, 1, ended[run])
		}
	})
}

package forward

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

// freeAt is a placer that accepts requests from a given time on and predicts the wait until then.
type freeAt struct{ at time.Time }

func (p freeAt) Place(*Query) (Placement, bool) {
	wait := time.Until(p.at)
	return Placement{PredictedWait: wait, OnRefusal: func() time.Duration { return 2 * wait }}, wait <= 0
}

// exchangeAt returns an exchange of a caller that first tried age ago, with a placer that accepts
// it after the duration free.
func exchangeAt(free, age time.Duration) (*exchange, *Query) {
	route := &routing.Route{Objective: time.Second, Timeout: 9 * time.Second}
	x := &exchange{Handler: &Handler{Placer: freeAt{time.Now().Add(free)}}, arrived: time.Now(), route: route, age: age}
	return x, &Query{Route: route, Age: age}
}

// TestWaitsForCapacityPredictedSoon checks that a request waits for capacity for up to an eighth of
// the objective, and is refused at once if the predicted wait is longer.
func TestWaitsForCapacityPredictedSoon(t *testing.T) {
	for _, tc := range []struct {
		name      string
		free, age time.Duration
		placed    bool
		waited    time.Duration
	}{
		{"free", 0, 0, true, 0},
		{"soon", 100 * time.Millisecond, 0, true, 100 * time.Millisecond},
		{"too late", 130 * time.Millisecond, 0, false, 0},
		{"second try", 100 * time.Millisecond, time.Second, true, 100 * time.Millisecond},
		{"second try, too late", 130 * time.Millisecond, time.Second, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, q := exchangeAt(tc.free, tc.age)
				placement, ok := x.place(t.Context(), q)
				test.Eq(t, tc.placed, ok)
				test.Eq(t, tc.waited, placement.Waited)
				if !ok {
					refusal := placementRefusal(&placement)
					test.Eq(t, 2*tc.free, refusal.RetryAfter)
					test.Eq(t, result.NotRun, refusal.RunState)
				}
			})
		})
	}
}

// TestResumedStreamIsNotRefusedForAShortWait guards against callers that lose the part of a stream that they have, as
// the endpoints of its release have no room for some 100 ms.
func TestResumedStreamIsNotRefusedForAShortWait(t *testing.T) {
	for _, tc := range []struct {
		name   string
		free   time.Duration
		placed bool
		waited time.Duration
	}{
		{"within the objective", 900 * time.Millisecond, true, 900 * time.Millisecond},
		{"after the objective", 1100 * time.Millisecond, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, q := exchangeAt(tc.free, 5*time.Second)
				x.release = "v1"
				placement, ok := x.place(t.Context(), q)
				test.Eq(t, tc.placed, ok)
				test.Eq(t, tc.waited, placement.Waited)
			})
		})
	}
}

// TestWaitEndsWithTheCaller checks that waiting ends when the caller leaves.
func TestWaitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, q := exchangeAt(100*time.Millisecond, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, ok := x.place(ctx, q)
		must.False(t, ok)
		test.LessEq(t, 40*time.Millisecond, time.Since(x.arrived))
	})
}

// TestAgeOfRetries checks that the age is the difference between a caller's deadline and
// the route's longest one if the route's callers state equal initial deadlines.
func TestAgeOfRetries(t *testing.T) {
	var p AgeEstimator
	now := time.Now()
	test.Eq(t, 0, p.Age("r", 12*time.Second, now))
	test.Eq(t, 3*time.Millisecond, p.Age("r", 11997*time.Millisecond, now))
	test.Eq(t, 2*time.Second, p.Age("r", 10*time.Second, now))
	test.Eq(t, 0, p.Age("other", 10*time.Second, now))
	test.Eq(t, 0, p.Age("r", 0, now), test.Sprint("no deadline is stated"))
	test.Eq(t, 0, p.Age("r", 10*time.Second, now.Add(deadlineRetention+time.Second)), test.Sprint("the longest deadline is too old"))
}

// TestAgeWithUnequalDeadlines checks that few first tries with unequal deadlines are taken for
// retries, and that most retries that have lost more time than the spread are found.
//
// Callers may state between 85 and 100% of their class's time on their first try. If these counted
// as retries, small prompts would take the capacity for which large ones wait, and prompts that
// come too late would not be refused.
func TestAgeWithUnequalDeadlines(t *testing.T) {
	const full, lost = 10 * time.Second, 2500 * time.Millisecond
	for _, spread := range []float64{0, 0.05, 0.15} {
		var p AgeEstimator
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Now()
		falseRetries, found, retries := 0, 0, 0
		for i := range 2000 {
			left := time.Duration(float64(full) * (1 - spread*random.Float64()))
			retried := i%5 == 4
			if retried {
				left -= lost
				retries++
			}
			age := p.Age("a", left, now.Add(time.Duration(i)*10*time.Millisecond))
			switch {
			case i < 100: // warm-up
			case retried && age > 0:
				found++
			case !retried && age > 100*time.Millisecond:
				falseRetries++
			}
		}
		test.LessEq(t, 80, falseRetries, test.Sprint("of 1,520, spread ", spread))
		test.Greater(t, 9*(retries-20)/10, found, test.Sprint("spread ", spread))
	}
}

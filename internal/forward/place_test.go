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

// placesAt takes requests from a time on, and predicts that until then.
type placesAt struct{ at time.Time }

func (p placesAt) Place(*Query) (Placement, bool) {
	wait := time.Until(p.at)
	return Placement{Wait: wait, Refuse: func() time.Duration { return 2 * wait }}, wait <= 0
}

// exchangeAt returns an exchange of a caller that first tried some time ago, before engines
// that take it after a time.
func exchangeAt(free, age time.Duration) (*exchange, *Query) {
	route := &routing.Route{Objective: time.Second, Timeout: 9 * time.Second}
	x := &exchange{Handler: &Handler{Placer: placesAt{time.Now().Add(free)}}, arrived: time.Now(), route: route, age: age}
	return x, &Query{Route: route, Age: age}
}

// TestWaitsForAPlaceThatComesSoon waits within an eighth of the objective, and refuses at once
// what is predicted to take longer.
func TestWaitsForAPlaceThatComesSoon(t *testing.T) {
	for _, tc := range []struct {
		name      string
		free, age time.Duration
		placed    bool
		waited    time.Duration
	}{
		{"free", 0, 0, true, 0},
		{"soon", 100 * time.Millisecond, 0, true, 100 * time.Millisecond},
		{"too late", 130 * time.Millisecond, 0, false, 0},
		{"came back", 100 * time.Millisecond, time.Second, true, 100 * time.Millisecond},
		{"came back, too late", 130 * time.Millisecond, time.Second, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, q := exchangeAt(tc.free, tc.age)
				placement, ok := x.place(t.Context(), q)
				test.Eq(t, tc.placed, ok)
				test.Eq(t, tc.waited, placement.Waited)
				if !ok {
					refusal := declined(&placement)
					test.Eq(t, 2*tc.free, refusal.RetryAfter)
					test.Eq(t, result.NotRun, refusal.RunState)
				}
			})
		})
	}
}

// TestWaitEndsWithTheCaller doesn't wait for a caller that left.
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

// TestPatienceTellsLaterTries takes the time that a caller has left for its age.
func TestPatienceTellsLaterTries(t *testing.T) {
	var p Patience
	now := time.Now()
	test.Eq(t, 0, p.Age("r", 12*time.Second, now))
	test.Eq(t, 3*time.Millisecond, p.Age("r", 11997*time.Millisecond, now))
	test.Eq(t, 2*time.Second, p.Age("r", 10*time.Second, now))
	test.Eq(t, 0, p.Age("other", 10*time.Second, now))
	test.Eq(t, 0, p.Age("r", 0, now), test.Sprint("no time is stated"))
	test.Eq(t, 0, p.Age("r", 10*time.Second, now.Add(patienceFade+time.Second)), test.Sprint("callers have changed"))
}

// Callers of a deployment gave between 85 and 100% of their class's time at their first try, and nearly
// all were taken for ones that were refused before: small prompts then took the room that large ones
// waited for, and prompts that came too late were not refused.

// TestPatienceOfUnequalCallers takes no caller for a returned one that gives as much as others do at
// first, and finds most of those that have lost more than that.
func TestPatienceOfUnequalCallers(t *testing.T) {
	const full, lost = 10 * time.Second, 2500 * time.Millisecond
	for _, spread := range []float64{0, 0.05, 0.15} {
		var p Patience
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Now()
		falsely, found, returned := 0, 0, 0
		for i := range 2000 {
			left := time.Duration(float64(full) * (1 - spread*random.Float64()))
			again := i%5 == 4
			if again {
				left -= lost
				returned++
			}
			age := p.Age("a", left, now.Add(time.Duration(i)*10*time.Millisecond))
			switch {
			case i < 100: // it learns
			case again && age > 0:
				found++
			case !again && age > 100*time.Millisecond:
				falsely++
			}
		}
		test.LessEq(t, 80, falsely, test.Sprint("of 1,520, spread ", spread))
		test.Greater(t, 9*(returned-20)/10, found, test.Sprint("spread ", spread))
	}
}

package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestTooLate guards against refusals of prompts that would be late by less than a refused caller,
// who comes back after seconds, and against prompts that run for callers who have given up.
func TestTooLate(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		ahead                  int // tokens that the engine has to read before; 60 take 1 ms
		slots                  int
		objective, gap, inTime time.Duration
		want                   bool
	}{
		{"late, but the caller waits for 2 s", 60_000, 16, 250 * time.Millisecond, 0, 10 * time.Second, true},
		{"the caller gives up after 2 s", 96_000, 16, 250 * time.Millisecond, 0, 10 * time.Second, false},
		{"the caller accepts long gaps", 96_000, 16, 250 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, true},
		{"the deadline is shorter", 60_000, 16, 250 * time.Millisecond, 0, 1200 * time.Millisecond, false},
		{"no slots stated", 60_000, 0, 250 * time.Millisecond, 0, 10 * time.Second, false},
	} {
		c := newContended(t, tc.slots, 0, map[string]int{"north": 1})
		c.Fleet.Members("s")[0].Load.Begin(tc.ahead, 0)
		q := c.prompt(0, 100, 20)
		q.Route.Objective, q.Route.GapObjective, q.Attributes.Deadline = tc.objective, tc.gap, tc.inTime
		p, ok := c.Place(q)
		test.Eq(t, tc.want, ok, test.Sprint(tc.name))
		if !ok {
			test.Eq(t, "too_late", p.Reason)
		}
	}
}

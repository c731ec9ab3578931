package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/routing"
)

// TestGiveUpAfter guards against a limit derived from only one of the three bounds: a prompt would
// be refused as too late, or run in vain, because its caller's patience is estimated wrongly.
func TestGiveUpAfter(t *testing.T) {
	for _, tc := range []struct{ objective, gap, want time.Duration }{
		{0, 0, 2 * time.Second},
		{250 * time.Millisecond, 0, 2 * time.Second},
		{800 * time.Millisecond, 300 * time.Millisecond, 3200 * time.Millisecond},
		{400 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	} {
		q := Query{Route: &routing.Route{Objective: tc.objective, GapObjective: tc.gap}}
		test.Eq(t, tc.want, q.GiveUpAfter(), test.Sprint(tc))
	}
}

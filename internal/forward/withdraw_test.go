package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestWithdrawal checks that an attempt is canceled only if it has not begun by the given time.
func TestWithdrawal(t *testing.T) {
	const within = time.Second
	for name, tc := range map[string]struct {
		limited, begun bool
		ended          bool
	}{
		"no limit":  {},
		"not begun": {limited: true, ended: true},
		"begun":     {limited: true, begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var at time.Time
				if tc.limited {
					at = time.Now().Add(within)
				}
				ctx, markBegun := withdrawUnlessBegun(t.Context(), at)
				time.Sleep(within - time.Millisecond)
				test.NoError(t, ctx.Err())
				if tc.begun {
					markBegun()
				}
				time.Sleep(time.Minute)
				test.Eq(t, tc.ended, ctx.Err() != nil)
			})
		})
	}
}

package ticket_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/coord/ticket"
)

// takes returns a run function that needs d, and gives up when its context ends.
func (s *service) takes(d time.Duration) ticket.RunFunc {
	return func(ctx context.Context) (ticket.Answer, error) {
		select {
		case <-time.After(d):
			return s.file(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// TestRunOutlivesItsCallers: a run goes on past the deadline of the caller that began it, for a
// repeat to get its answer, but not for ever.
func TestRunOutlivesItsCallers(t *testing.T) {
	tests := map[string]struct {
		takes  time.Duration
		repeat time.Duration // after the begin
		state  ticket.RunState
	}{
		"ends in time":                      {takes: time.Second / 2, repeat: time.Second, state: ticket.Ran},
		"repeated during the run":           {takes: 5 * time.Second, repeat: 2 * time.Second, state: ticket.Ran},
		"repeated after the run":            {takes: 5 * time.Second, repeat: 8 * time.Second, state: ticket.Ran},
		"takes longer, a repeat waits":      {takes: 40 * time.Second, repeat: 2 * time.Second, state: ticket.Ran},
		"takes longer, nobody waits for it": {takes: 40 * time.Second, repeat: 41 * time.Second, state: ticket.MayHaveRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, s := newExecutor(t, self), &service{}
				one := issue(t, e, 1)[0]
				first, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begun := time.Now()
				_, _ = e.Do(first, one, "acme", bound, s.takes(tc.takes)) // its own answer is not the matter
				time.Sleep(tc.repeat - time.Since(begun))
				second, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := e.Do(second, one, "acme", bound, s.file)
				test.Eq(t, tc.state, ticket.StateOf(err), test.Sprint(err))
				test.LessEq(t, 1, s.executions())
			})
		})
	}
}

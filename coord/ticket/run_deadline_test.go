package ticket_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/coord/ticket"
)

// runFor returns a run function that takes d and fails if its context ends
// earlier.
func (s *service) runFor(d time.Duration) ticket.RunFunc {
	return func(ctx context.Context) (ticket.Answer, error) {
		select {
		case <-time.After(d):
			return s.submit(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// TestRunContinuesAfterCallerDeadline checks that a run continues after the
// deadline of the caller that started it, so that a retry gets the answer, but
// only for a limited time if no other caller waits.
func TestRunContinuesAfterCallerDeadline(t *testing.T) {
	tests := map[string]struct {
		runFor     time.Duration
		retryAfter time.Duration // time of the retry, counted from the start
		state      ticket.RunState
	}{
		"ends in time":                 {runFor: time.Second / 2, retryAfter: time.Second, state: ticket.Ran},
		"retried during the run":       {runFor: 5 * time.Second, retryAfter: 2 * time.Second, state: ticket.Ran},
		"retried after the run":        {runFor: 5 * time.Second, retryAfter: 8 * time.Second, state: ticket.Ran},
		"takes longer, a retry waits":  {runFor: 40 * time.Second, retryAfter: 2 * time.Second, state: ticket.Ran},
		"takes longer, no retry waits": {runFor: 40 * time.Second, retryAfter: 41 * time.Second, state: ticket.MayHaveRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, s := newExecutor(t, self), &service{}
				tkt := issue(t, e, 1)[0]
				first, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				startedAt := time.Now()
				_, _ = e.Do(first, tkt, "acme", fingerprint, s.runFor(tc.runFor)) // only the result of the retry is checked
				time.Sleep(tc.retryAfter - time.Since(startedAt))
				second, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := e.Do(second, tkt, "acme", fingerprint, s.submit)
				test.Eq(t, tc.state, ticket.StateOf(err), test.Sprint(err))
				test.LessEq(t, 1, s.executions())
			})
		})
	}
}

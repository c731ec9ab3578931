package retry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errTest = errors.New("probe")
)

// fullBudget returns a budget with n retries available to which time adds none.
func fullBudget(now time.Time, n float64) *Budget {
	b := NewBudget(now, BudgetConfig{Ratio: n, Capacity: n})
	b.Deposit(now)
	return b
}

func TestFailed(t *testing.T) {
	notRun := &AttemptError{State: NotRun, Err: errTest}
	lost := &AttemptError{State: Ran, Err: errTest}
	soon := epoch.Add(time.Second)
	tests := []struct {
		name   string
		call   Call
		err    error
		budget float64
		reason Reason // zero if the attempt is retried
	}{
		{"not run", Call{}, notRun, 1, 0},
		{"wrapped", Call{}, errors.Join(notRun), 1, 0},
		{"may have run", Call{}, errTest, 1, NotRepeatable},
		{"ran", Call{}, lost, 1, NotRepeatable},
		{"idempotent, may have run", Call{Idempotent: true}, errTest, 1, 0},
		{"idempotent, ran", Call{Idempotent: true}, lost, 1, 0},
		{"permanent", Call{}, &AttemptError{State: NotRun, Permanent: true}, 1, Permanent},
		{"downstream", Call{Downstream: true}, notRun, 1, Downstream},
		{"no budget", Call{}, notRun, 0.9, BudgetExhausted},
		{"retry fits the deadline", Call{Deadline: soon, MinTime: 900 * time.Millisecond}, notRun, 1, 0},
		{"retry does not fit the deadline", Call{Deadline: soon, MinTime: 980 * time.Millisecond}, notRun, 1, DeadlineTooClose},
		{"server requests a wait past the deadline", Call{Deadline: soon}, &AttemptError{State: NotRun, RetryAfter: 2 * time.Second}, 1, DeadlineTooClose},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			budget := fullBudget(epoch, tc.budget)
			s := NewPolicy(budget, DefaultIntervals).NewSequence(tc.call)
			s.StartAttempt(epoch)
			wait, gaveUp := s.Failed(epoch, tc.err)
			if tc.reason == 0 {
				must.Nil(t, gaveUp)
				must.Between(t, 25*time.Millisecond, wait, 75*time.Millisecond+1)
				must.False(t, budget.Withdraw(epoch))
				return
			}
			must.Eq(t, tc.reason, gaveUp.Reason)
			must.Eq(t, asAttemptError(tc.err).State, gaveUp.State)
			safe := tc.reason != NotRepeatable && tc.reason != Permanent && tc.reason != Downstream
			must.Eq(t, safe, gaveUp.RetryAfter > 0)
			must.Eq(t, tc.budget >= 1, budget.Withdraw(epoch), must.Sprint("giving up costs no budget"))
		})
	}
}

// TestDo checks in virtual time that Do returns without a wait after the last attempt or the
// end of the context, and that the time left shrinks with each attempt.
func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		policy := NewPolicy(fullBudget(begin, 10), DefaultIntervals)
		call := Call{Deadline: begin.Add(time.Minute)}
		var left []time.Duration
		run := func(ctx context.Context, a Attempt) error {
			must.Eq(t, len(left)+1, a.Number)
			must.True(t, a.Downstream)
			must.Eq(t, time.Until(call.Deadline), a.Left)
			left = append(left, a.Left)
			time.Sleep(time.Second)
			return &AttemptError{State: NotRun, RetryAfter: 10 * time.Second, Err: errTest}
		}
		err := policy.Do(t.Context(), call, run)
		var gaveUp *GaveUpError
		must.True(t, errors.As(err, &gaveUp))
		must.ErrorIs(t, err, errTest)
		must.Eq(t, MaxAttemptsReached, gaveUp.Reason)
		must.Eq(t, maxAttempts, gaveUp.Attempts)
		must.Eq(t, 34*time.Second, time.Since(begin))

		begin, left = time.Now(), nil
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		call.Deadline = begin.Add(time.Minute)
		err = policy.Do(ctx, call, run)
		must.True(t, errors.As(err, &gaveUp))
		must.Eq(t, ContextEnded, gaveUp.Reason)
		must.Eq(t, 5*time.Second, time.Since(begin))
	})
}

func TestBudgetBound(t *testing.T) {
	b := NewBudget(epoch, BudgetConfig{Ratio: 0.1, Capacity: 5, AddedPerSecond: 0.5})
	must.False(t, b.Withdraw(epoch), must.Sprint("a new budget is empty"))
	var granted int
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		b.Deposit(now)
		if b.Withdraw(now) {
			granted++
		}
	}
	must.Eq(t, 104, granted) // 0.1 * 1000 + 0.5 * 10 s, minus the fraction that remains
	now := epoch.Add(time.Hour)
	for range 5 {
		must.True(t, b.Withdraw(now))
	}
	must.False(t, b.Withdraw(now))
}

package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// maxAttempts limits the attempts of one call, including the first.
const maxAttempts = 4

// Intervals are the limits of the jittered exponential backoff.
type Intervals struct {
	Initial time.Duration
	Max     time.Duration
}

// DefaultIntervals suit calls that take from a second to minutes.
var DefaultIntervals = Intervals{Initial: 50 * time.Millisecond, Max: 5 * time.Second}

// Call describes a call that may be repeated.
type Call struct {
	// Deadline is the deadline of the caller. Zero means no deadline.
	Deadline time.Time
	// MinTime is the shortest time in which an attempt can finish.
	MinTime time.Duration
	// Idempotent means that repeating the call is harmless even if it ran.
	Idempotent bool
	// Downstream means that a hop nearer to the caller is responsible for retries.
	Downstream bool
}

// Attempt describes one attempt. Its content is intended to be sent with the call; the receiver
// sets Call.Downstream and its own deadline from it.
type Attempt struct {
	// Number starts at 1.
	Number int
	// Left is the time until the caller's deadline, or zero if there is none. It is a duration,
	// so that the clocks of caller and receiver need not agree.
	Left time.Duration
	// Downstream is always true, since the receiver is one hop further from the caller.
	Downstream bool
}

// Policy decides on retries of calls to one kind of target, for example a model. It is safe for
// concurrent use.
type Policy struct {
	budget    *Budget
	intervals Intervals
}

// NewPolicy returns a policy that takes its retries from budget.
func NewPolicy(budget *Budget, intervals Intervals) *Policy {
	return &Policy{budget: budget, intervals: intervals}
}

// Sequence is the series of attempts of one call. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type Sequence struct {
	policy   *Policy
	call     Call
	attempts int
	state    RunState
	backoff  *backoff.ExponentialBackOff
}

// Start returns a Sequence for a call, without an attempt yet.
func (p *Policy) Start(call Call) *Sequence {
	return &Sequence{policy: p, call: call, state: NotRun}
}

// Attempt counts the attempt that starts now and returns its description.
func (s *Sequence) Attempt(now time.Time) Attempt {
	s.attempts++
	a := Attempt{Number: s.attempts, Downstream: true}
	if !s.call.Deadline.IsZero() {
		a.Left = max(s.call.Deadline.Sub(now), 0)
	}
	return a
}

// Succeeded records that the latest attempt succeeded.
func (s *Sequence) Succeeded(now time.Time) {
	if s.attempts == 1 {
		s.policy.budget.Deposit(now)
	}
}

// Failed records that the latest attempt failed with err. It returns the wait before the next
// attempt, or the error to return if no attempt follows. The budget has already been charged
// for a granted retry.
func (s *Sequence) Failed(now time.Time, err error) (time.Duration, *GaveUpError) {
	failure := asAttemptError(err)
	s.state = lessRepeatable(s.state, failure.State)
	if failure.State != NotRun && !s.call.Idempotent {
		return 0, s.giveUp(NotRepeatable, 0, err)
	}
	if failure.Permanent {
		return 0, s.giveUp(Permanent, 0, err)
	}
	wait := max(s.nextInterval(), failure.RetryAfter)
	if s.call.Downstream {
		return 0, s.giveUp(Downstream, failure.RetryAfter, err)
	}
	if s.attempts >= maxAttempts {
		return 0, s.giveUp(AttemptsSpent, wait, err)
	}
	if !s.fitsDeadline(now, wait) {
		return 0, s.giveUp(DeadlineTooClose, wait, err)
	}
	if !s.policy.budget.Withdraw(now) {
		return 0, s.giveUp(BudgetSpent, wait, err)
	}
	return wait, nil
}

// fitsDeadline reports whether an attempt that starts after wait can finish before the
// deadline.
func (s *Sequence) fitsDeadline(now time.Time, wait time.Duration) bool {
	if s.call.Deadline.IsZero() {
		return true
	}
	done := now.Add(wait).Add(s.call.MinTime)
	return !done.After(s.call.Deadline)
}

// nextInterval returns the next jittered backoff interval.
func (s *Sequence) nextInterval() time.Duration {
	if s.backoff == nil {
		s.backoff = backoff.NewExponentialBackOff()
		s.backoff.InitialInterval = s.policy.intervals.Initial
		s.backoff.MaxInterval = s.policy.intervals.Max
	}
	return s.backoff.NextBackOff()
}

// giveUp returns the error for a call that is not retried; after is its RetryAfter.
func (s *Sequence) giveUp(reason Reason, after time.Duration, err error) *GaveUpError {
	return &GaveUpError{Reason: reason, Attempts: s.attempts, State: s.state, RetryAfter: after, Err: err}
}

// Do calls attempt until it succeeds or the policy allows no further attempt, and then returns
// a *GaveUpError without waiting. The context passed to attempt ends at the call's deadline. Do
// must not be repeated unless the error shows that this is safe.
func (p *Policy) Do(ctx context.Context, call Call, attempt func(context.Context, Attempt) error) error {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	s := p.Start(call)
	for {
		err := attempt(ctx, s.Attempt(time.Now()))
		if err == nil {
			s.Succeeded(time.Now())
			return nil
		}
		wait, gaveUp := s.Failed(time.Now(), err)
		if gaveUp != nil {
			return gaveUp
		}
		if !Sleep(ctx, wait) {
			return s.giveUp(Canceled, 0, err)
		}
	}
}

// Sleep waits and returns true, or returns false if ctx ends first. For a wait that is not
// positive it starts no timer.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

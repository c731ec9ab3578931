package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// maxAttempts limits the attempts of one call, including the first.
const maxAttempts = 4

// Intervals are the first and the longest interval of the exponential backoff, before jitter. A
// wait may be up to 1.5 times as long.
type Intervals struct {
	Initial time.Duration
	Max     time.Duration
}

// DefaultIntervals suit calls that take from a second to minutes.
var DefaultIntervals = Intervals{Initial: 50 * time.Millisecond, Max: 5 * time.Second}

// Call describes a call that may be retried.
type Call struct {
	// Deadline is the deadline of the caller. Zero means no deadline.
	Deadline time.Time
	// MinTime is the shortest time in which an attempt can finish.
	MinTime time.Duration
	// Idempotent means that running the call again is harmless even if it ran.
	Idempotent bool
	// Downstream means that an upstream hop, nearer to the caller, is responsible for retries.
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

// NewSequence returns a Sequence for a call, before its first attempt.
func (p *Policy) NewSequence(call Call) *Sequence {
	return &Sequence{policy: p, call: call, state: NotRun}
}

// StartAttempt counts an attempt that starts at now and returns its description.
func (s *Sequence) StartAttempt(now time.Time) Attempt {
	s.attempts++
	a := Attempt{Number: s.attempts, Downstream: true}
	if !s.call.Deadline.IsZero() {
		a.Left = max(s.call.Deadline.Sub(now), 0)
	}
	return a
}

// Succeeded reports that the latest attempt succeeded. It adds to the budget if that was the
// first attempt.
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
	s.state = worseState(s.state, failure.State)
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
		return 0, s.giveUp(MaxAttemptsReached, wait, err)
	}
	if !s.fitsDeadline(now, wait) {
		return 0, s.giveUp(DeadlineTooClose, wait, err)
	}
	if !s.policy.budget.Withdraw(now) {
		return 0, s.giveUp(BudgetExhausted, wait, err)
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

// giveUp returns the error for a call that is not retried.
func (s *Sequence) giveUp(reason Reason, retryAfter time.Duration, err error) *GaveUpError {
	return &GaveUpError{Reason: reason, Attempts: s.attempts, State: s.state, RetryAfter: retryAfter, Err: err}
}

// Do calls attempt until it succeeds, and returns nil, or until the policy allows no further
// attempt or ctx ends during a wait, and returns a *GaveUpError. It does not wait after the last
// attempt. The context passed to attempt ends at the call's deadline. Do must not be repeated
// unless the error shows that this is safe.
func (p *Policy) Do(ctx context.Context, call Call, attempt func(context.Context, Attempt) error) error {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	s := p.NewSequence(call)
	for {
		err := attempt(ctx, s.StartAttempt(time.Now()))
		if err == nil {
			s.Succeeded(time.Now())
			return nil
		}
		wait, gaveUp := s.Failed(time.Now(), err)
		if gaveUp != nil {
			return gaveUp
		}
		if !Sleep(ctx, wait) {
			return s.giveUp(ContextEnded, 0, err)
		}
	}
}

// Sleep waits and returns true, or returns false if ctx ends first. If wait is not positive, it
// reports without waiting whether ctx is still active.
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

package retry

import (
	"errors"
	"fmt"
	"time"
)

// RunState describes whether a failed attempt had an effect.
type RunState int

const (
	// MayHaveRun means that it is unknown whether the attempt had an effect. It is the state of
	// errors that are not an *AttemptError.
	MayHaveRun RunState = iota
	// NotRun means that the attempt definitely had no effect.
	NotRun
	// Ran means that the attempt took effect but its response was lost.
	Ran
)

// String implements fmt.Stringer.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// AttemptError is returned by an attempt to state whether it ran and whether a retry can help.
type AttemptError struct {
	State RunState
	// Permanent means that the same call would fail again, for example because the request is
	// malformed.
	Permanent bool
	// RetryAfter is the minimum wait requested by the server, or zero.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.State, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Reason is the reason why a failed call was not retried.
type Reason int

const (
	// NotRepeatable means that the call may have run and is not idempotent.
	NotRepeatable Reason = iota + 1
	// Permanent means that the same call would fail again.
	Permanent
	// Downstream means that an upstream hop, nearer to the caller, is responsible for retries.
	Downstream
	// MaxAttemptsReached means that the maximum number of attempts was made.
	MaxAttemptsReached
	// DeadlineTooClose means that a retry could not finish before the deadline.
	DeadlineTooClose
	// BudgetExhausted means that the budget has less than one retry left.
	BudgetExhausted
	// ContextEnded means that the context was canceled or its deadline passed during the wait
	// for a retry.
	ContextEnded
)

var reasonNames = map[Reason]string{
	NotRepeatable:      "call may have run and is not idempotent",
	Permanent:          "permanent failure",
	Downstream:         "upstream hop is responsible for retries",
	MaxAttemptsReached: "maximum number of attempts reached",
	DeadlineTooClose:   "retry cannot finish before the deadline",
	BudgetExhausted:    "retry budget exhausted",
	ContextEnded:       "canceled",
}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// GaveUpError is the error of a call that failed and is not retried.
type GaveUpError struct {
	Reason Reason
	// Attempts is the number of attempts made.
	Attempts int
	// State is Ran if any attempt ran, else MayHaveRun if any may have run, else NotRun.
	// Repeating the call is safe only if it is NotRun or the call is idempotent.
	State RunState
	// RetryAfter is the time after which the caller may repeat the call. It is zero if
	// repeating the call is unsafe or would not help, if the context ended, or, for Downstream,
	// if the server requested no wait.
	RetryAfter time.Duration
	// Err is the error of the last attempt.
	Err error
}

// Error implements error.
func (e *GaveUpError) Error() string {
	return fmt.Sprintf("retry: %s (attempts: %d): %v", e.Reason, e.Attempts, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *GaveUpError) Unwrap() error { return e.Err }

var (
	_ error = (*AttemptError)(nil)
	_ error = (*GaveUpError)(nil)
)

// asAttemptError returns the *AttemptError that err wraps, or one with state MayHaveRun.
func asAttemptError(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &AttemptError{State: MayHaveRun, Err: err}
}

// worseState returns the state of two attempts: Ran if either ran, else MayHaveRun if either may
// have run, else NotRun.
func worseState(a, b RunState) RunState {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == MayHaveRun || b == MayHaveRun {
		return MayHaveRun
	}
	return NotRun
}

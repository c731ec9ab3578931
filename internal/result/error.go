package result

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Error is an error with a result code. errors.As and From find it in an error chain.
type Error struct {
	Code     Code
	RunState RunState
	// Field is the path of the field that caused the error, such as "endpoint.url".
	Field string
	// Message is sent to the caller; it never contains another account's data.
	Message string
	// RetryAfter is the minimum time to wait before a retry, or 0 if it is not known.
	RetryAfter time.Duration
	// Revision is the object's current revision on a RevisionConflict.
	Revision int64

	cause error
}

var _ error = (*Error)(nil)

// Option sets one property of a new Error.
type Option func(*Error)

// WithField sets the path of the field that caused the error.
func WithField(path string) Option { return func(e *Error) { e.Field = path } }

// WithMessage replaces the code's meaning with a more specific message.
func WithMessage(format string, args ...any) Option {
	return func(e *Error) { e.Message = fmt.Sprintf(format, args...) }
}

// WithRunState replaces the code's run state.
func WithRunState(s RunState) Option { return func(e *Error) { e.RunState = s } }

// WithRetryAfter sets the minimum time to wait before a retry, rounded up to milliseconds: other nodes and callers are
// told it in these, and 0 would stand for none.
func WithRetryAfter(d time.Duration) Option {
	return func(e *Error) { e.RetryAfter = (d + time.Millisecond - 1).Truncate(time.Millisecond) }
}

// WithRevision sets the object's current revision.
func WithRevision(revision int64) Option { return func(e *Error) { e.Revision = revision } }

// New returns an error with a code. It records no stack trace, since rejecting requests
// under overload must be cheap.
func New(code Code, opts ...Option) *Error {
	info := code.Info()
	e := &Error{Code: info.Code, RunState: info.RunState, Message: info.Meaning}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Wrap returns an error with a code, the cause err, and the stack trace of the call. The
// cause is logged and is not sent to callers.
func Wrap(err error, code Code, opts ...Option) *Error {
	e := New(code, opts...)
	e.cause = eris.Wrap(err, e.Message)
	return e
}

// From returns the Error in an error chain. An error without a code becomes
// DeadlinePassed or CallerDisconnected if it is the error of an ended context, else Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(err, DeadlinePassed)
	case errors.Is(err, context.Canceled):
		return Wrap(err, CallerDisconnected)
	}
	return Wrap(err, Internal)
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Error returns the code's number and name, the field, and the cause or message. ParseText
// parses this format.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s", int(e.Code), e.Code)
	if e.Field != "" {
		fmt.Fprintf(&b, " (%s)", e.Field)
	}
	if e.cause != nil {
		fmt.Fprintf(&b, ": %v", e.cause)
		return b.String()
	}
	fmt.Fprintf(&b, ": %s", e.Message)
	return b.String()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status of the code.
func (e *Error) Status() int { return e.Code.Info().Status }

package ticket

import (
	"errors"
	"fmt"
)

// RunState is what is certain about the execution of a call. The zero value,
// MayHaveRun, is the one without a guarantee.
type RunState uint8

const (
	MayHaveRun RunState = iota // unknown; never retry the call with another ticket
	NotRun                     // the call did not run
	Ran                        // the call ran to completion
)

var runStateNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the state's name as used in messages. It returns the name of
// MayHaveRun for an invalid state.
func (s RunState) String() string {
	if int(s) < len(runStateNames) {
		return runStateNames[s]
	}
	return runStateNames[MayHaveRun]
}

// MarshalText encodes the state by its name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state. It decodes an unknown name as MayHaveRun and
// never fails.
func (s *RunState) UnmarshalText(text []byte) error {
	*s = MayHaveRun
	for state, name := range runStateNames {
		if name == string(text) {
			*s = RunState(state)
		}
	}
	return nil
}

// Reason is the cause of an [Error].
type Reason string

// The reasons, each with its description and the run state reported with it.
const (
	ReasonMalformed        Reason = "malformed"         // not a ticket; not_run
	ReasonForged           Reason = "forged"            // wrong authentication code; not_run
	ReasonOtherAccount     Reason = "other_account"     // issued to another account; not_run
	ReasonDifferentRequest Reason = "different_request" // ticket is bound to another request; this request is not_run
	ReasonCancelled        Reason = "cancelled"         // caller cancelled before the call started; not_run
	ReasonRefused          Reason = "refused"           // the service executed nothing, the ticket is used up; not_run
	ReasonUnreachable      Reason = "unreachable"       // the call reached no executor that serves the ticket; not_run
	ReasonMoved            Reason = "moved"             // handed over to Error.Successor; not_run here
	ReasonExpired          Reason = "expired"           // older than the window, or first handed over more than Config.AdoptedTTL ago; may_have_run
	ReasonUnissued         Reason = "unissued"          // the executor has no record of issuing the serial; may_have_run
	ReasonNotExecutor      Reason = "not_executor"      // this node does not serve the incarnation; may_have_run
	ReasonExecutorGone     Reason = "executor_gone"     // the incarnation has ended; may_have_run
	ReasonAnswerLost       Reason = "answer_lost"       // sent to the executor, but no answer received; may_have_run
	ReasonWaitEnded        Reason = "wait_ended"        // caller's context ended during the run; may_have_run
	ReasonOutcomeUnknown   Reason = "outcome_unknown"   // the run failed or was interrupted; may_have_run
	ReasonAnswerGone       Reason = "answer_gone"       // the call ran, but no answer is available; ran
)

// Error is the error of a failed redemption. It can be encoded as JSON, so that
// a [Forwarder] can return the executor's error unchanged.
type Error struct {
	Reason Reason   `json:"reason"`
	State  RunState `json:"state"`
	// Final means that State applies to the ticket, not just to this attempt,
	// and that presenting the ticket again cannot change it. If Final is false,
	// a retry with the same ticket is safe and may have a better result.
	Final bool `json:"final,omitempty"`
	// Successor is set with ReasonMoved.
	Successor *Incarnation `json:"successor,omitempty"`
	// Cause is the underlying error, if any; only its text is encoded.
	Cause error `json:"-"`
	// Detail is the text of Cause in an encoded error.
	Detail string `json:"detail,omitempty"`
}

// Error returns a text with the reason, the run state and the detail, if any.
func (e *Error) Error() string {
	text := fmt.Sprintf("ticket: %s (%s)", e.Reason, e.State)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// StateOf returns the run state reported by err: Ran for nil, and MayHaveRun for
// an error that is not an *Error.
func StateOf(err error) RunState {
	if err == nil {
		return Ran
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.State
	}
	return MayHaveRun
}

// ReasonOf returns the reason of err, or "" if err is not an *Error.
func ReasonOf(err error) Reason {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Reason
	}
	return ""
}

// Refused wraps the error of a run function when it is certain that nothing was
// executed: the call failed before its first byte was sent, or the service
// reported so.
func Refused(cause error) error {
	return attemptError(ReasonRefused, NotRun, cause)
}

// attemptError returns an error whose state applies to this attempt only.
func attemptError(reason Reason, state RunState, cause error) *Error {
	e := &Error{Reason: reason, State: state, Cause: cause}
	if cause != nil {
		e.Detail = cause.Error()
	}
	return e
}

// ticketError returns a final error, whose state applies to the ticket.
func ticketError(reason Reason, state RunState, cause error) *Error {
	e := attemptError(reason, state, cause)
	e.Final = true
	return e
}

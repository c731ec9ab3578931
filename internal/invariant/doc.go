// Package invariant checks the invariants of a system against the history of a run: what callers sent
// and received, what endpoints executed, and which configuration nodes reported.
//
// A checker returns nil if the history satisfies the invariant, and otherwise an error that describes
// every violation. Checkers do no I/O and read no clock.
package invariant

import (
	"errors"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

// tokenBytes is the length in bytes of an output token of the simulated engine.
const tokenBytes = 4

// leavingLimit is the time after its publication as leaving in which an endpoint may receive new runs.
const leavingLimit = 3 * time.Second

// History is the history of a run.
type History struct {
	Answers    []Answer
	Calls      []Call
	Executions []Execution
	Accepted   []Accepted
	Readings   []Reading
	Leaves     []Leave
	Starts     []RunStart
	// WrongBlocks counts imports of the bytes of another block, over all engines.
	WrongBlocks int
}

// Answer is the response to one prompt, as received by its caller.
type Answer struct {
	Name    string
	Account string
	Prompt  string
	// Want is the complete answer that an engine without faults returns.
	Want string
	Text string
	// Offset is the number of tokens stated in the last event; -1 without events.
	Offset int
	// Whole is true if the end of the answer was received.
	Whole bool
	// Code and RunState are those of the error; Code is 0 if there was none.
	Code     result.Code
	RunState result.RunState
	Cached   int // prompt tokens that were not recomputed
	// EntryGone is true if the caller's node was killed or the caller disconnected before the end.
	EntryGone bool
	// Engines is the number of runs of this prompt that engines accepted.
	Engines int
}

// Call is one request to execute a call that must not be repeated.
type Call struct {
	Name     string
	BodyID   string // identifies the call across retries
	Code     result.Code
	RunState result.RunState
}

// Execution is the number of times that a service executed a call.
type Execution struct {
	BodyID     string
	Idempotent bool
	Count      int
}

// Accepted is a configuration change that was acknowledged to an operator.
type Accepted struct {
	Object   string // kind/name
	Revision int64
	Delete   bool
}

// Reading is a node's configuration at one time. Readings are in chronological order.
type Reading struct {
	Process   string // process of a node; a restarted node is a different process
	Applied   int64
	Revisions map[string]int64 // by object
}

// Leave is the time at which an endpoint was published as leaving.
type Leave struct {
	Endpoint string
	At       time.Time
}

// RunStart is the time at which an engine received a new run.
type RunStart struct {
	Endpoint string
	Prompt   string
	At       time.Time
}

// Check runs all checkers.
func Check(h *History) error {
	return errors.Join(
		WholeAnswers(h.Answers),
		AccountsApart(h.Answers),
		NotRunPrompts(h.Answers),
		AtMostOnce(h.Executions),
		NotRunCalls(h.Calls, h.Executions),
		Revisions(h.Accepted, h.Readings),
		LeavingIdle(h.Leaves, h.Starts),
		RightBlocks(h.WrongBlocks),
	)
}

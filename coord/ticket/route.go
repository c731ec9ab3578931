package ticket

import (
	"context"
	"errors"
)

// Status is the status of an incarnation according to a node's list of members.
type Status uint8

const (
	Unknown Status = iota
	Alive
	Gone // the process has ended, or the node has been restarted since
)

// Presence is the status of an incarnation and the address of the node that
// redeems its tickets.
type Presence struct {
	Status Status
	Addr   string // empty if unknown
}

// Lookup returns the presence of an incarnation according to the node's list of
// members. A member that publishes the incarnation in its [Executor.Serving]
// takes precedence over the incarnation's own entry. The result may be wrong at
// any time: calls then fail, but never run twice.
type Lookup func(Incarnation) Presence

// Call is a call with a ticket, as received by a node.
type Call struct {
	Ticket      string      `json:"ticket"`
	Account     string      `json:"account"` // authenticated by the receiving node
	Fingerprint Fingerprint `json:"fingerprint"`
	Request     []byte      `json:"request"` // opaque to this package
	// FirstAttempt is the caller's statement that it has not sent this ticket before.
	// Only then can a node that does not reach the executor report not_run.
	FirstAttempt bool `json:"first,omitempty"`
}

// ErrNotSent is wrapped by the error of a [Forwarder] that failed before sending
// the first byte of the call, for example because the connection was refused.
var ErrNotSent = errors.New("ticket: call was not sent")

// Forwarder sends a call to the node at addr, which passes it to
// [Executor.Serve]. It must send the call once, without retries. On failure it
// returns the executor's *Error unchanged, an error that wraps ErrNotSent if
// nothing was sent, or any other error if the answer was lost.
type Forwarder interface {
	Forward(ctx context.Context, addr string, call Call) (Answer, error)
}

// Decision is the result of Route.
type Decision uint8

const (
	Local        Decision = iota // redeem at this node's executor
	Forward                      // forward to the returned address
	ExecutorGone                 // the incarnation has ended; no node may run its calls
	Unreachable                  // no address is known; nothing can be sent
)

// Route returns where to redeem the tickets of an incarnation, with an address
// if the decision is Forward. local is the executor of this node.
func Route(local *Executor, incarnation Incarnation, lookup Lookup) (Decision, string) {
	if local.hasLedger(incarnation) {
		return Local, ""
	}
	presence := lookup(incarnation)
	switch {
	case presence.Status == Gone:
		return ExecutorGone, ""
	case presence.Addr == "":
		return Unreachable, ""
	}
	return Forward, presence.Addr
}

// hasLedger reports whether the executor has the incarnation's ledger. A draining
// executor still has it and returns cached answers.
func (e *Executor) hasLedger(incarnation Incarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retireExpired()
	return e.ledgers[incarnation] != nil
}

// Redeemer redeems tickets that any node of the system has issued, locally or by
// forwarding the call.
type Redeemer struct {
	Executor  *Executor
	Lookup    Lookup
	Forwarder Forwarder
}

// maxExecutors is the maximum number of executors, the ticket's own and its
// successors, that one redemption tries.
const maxExecutors = 3

// Redeem parses the call's ticket and redeems it at its executor: with run if
// that is the local one, otherwise through the forwarder. A call that another
// node forwarded must be passed to [Executor.Serve] instead, so that it is not
// forwarded again. Redeem fails with an *Error; presenting the ticket again is
// always safe.
func (r *Redeemer) Redeem(ctx context.Context, call Call, run RunFunc) (Answer, error) {
	t, err := Parse(r.Executor.config.Key, call.Ticket)
	if err != nil {
		return nil, err
	}
	if t.Account != call.Account {
		return nil, attemptError(ReasonOtherAccount, NotRun, nil)
	}
	answer, err := r.redeemFollowingMoves(ctx, t, call, run)
	return answer, adjustForRetry(err, call.FirstAttempt)
}

// redeemFollowingMoves redeems the ticket at its executor or, if that has handed
// over its tickets, at the successors in turn.
func (r *Redeemer) redeemFollowingMoves(ctx context.Context, t Ticket, call Call, run RunFunc) (Answer, error) {
	at := t.Incarnation
	for range maxExecutors {
		answer, err := r.redeemAt(ctx, at, t, call, run)
		e, ok := errors.AsType[*Error](err)
		if !ok || e.Reason != ReasonMoved || e.Successor == nil {
			return answer, err
		}
		at = *e.Successor
	}
	return nil, attemptError(ReasonUnreachable, NotRun, nil)
}

func (r *Redeemer) redeemAt(ctx context.Context, at Incarnation, t Ticket, call Call, run RunFunc) (Answer, error) {
	decision, addr := Route(r.Executor, at, r.Lookup)
	switch decision {
	case Local:
		return r.Executor.Do(ctx, t, call.Account, call.Fingerprint, run)
	case ExecutorGone:
		return nil, attemptError(ReasonExecutorGone, MayHaveRun, nil)
	case Unreachable:
		return nil, attemptError(ReasonUnreachable, NotRun, nil)
	}
	answer, err := r.Forwarder.Forward(ctx, addr, call)
	return answer, forwardError(err)
}

// Serve redeems the ticket of a call that another node forwarded to this one; see
// [Executor.Do]. The forwarding node must have authenticated the account.
func (e *Executor) Serve(ctx context.Context, call Call, run RunFunc) (Answer, error) {
	t, err := Parse(e.config.Key, call.Ticket)
	if err != nil {
		return nil, err
	}
	return e.Do(ctx, t, call.Account, call.Fingerprint, run)
}

// forwardError converts the error of a Forwarder to an *Error with its run state.
func forwardError(err error) error {
	if err == nil {
		return nil
	}
	if _, ok := errors.AsType[*Error](err); ok {
		return err
	}
	if errors.Is(err, ErrNotSent) {
		return attemptError(ReasonUnreachable, NotRun, err)
	}
	return attemptError(ReasonAnswerLost, MayHaveRun, err)
}

// adjustForRetry adjusts the run state of an error for the attempts before this
// one. NotRun becomes MayHaveRun, because an earlier attempt may have run, unless
// this is the first attempt, the error is final or the request differs from the
// one that the ticket is bound to.
func adjustForRetry(err error, first bool) error {
	e, ok := errors.AsType[*Error](err)
	if !ok || e.State != NotRun || e.Final || first || e.Reason == ReasonDifferentRequest {
		return err
	}
	adjusted := *e
	adjusted.State = MayHaveRun
	return &adjusted
}

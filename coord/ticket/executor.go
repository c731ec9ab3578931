package ticket

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Answer is the encoded answer of a call, opaque to this package. Retries return
// the same slice, which must not be modified.
type Answer []byte

// RunFunc executes the call. A nil error means that the call ran and that Answer
// is its result, which may be an error response of the service. An *Error with
// state NotRun, such as one from [Refused], means that nothing was executed, and
// one with state Ran that the call ran but has no answer. After any other error
// the outcome is unknown. In each of these cases the call is never started again.
// A RunFunc may try several endpoints, as long as each previous one certainly
// executed nothing.
//
// The context has the values of the first caller's context, but not its
// cancellation and deadline, because other callers may wait for the same run or
// request its answer later. It is cancelled with the cause
// context.DeadlineExceeded when Config.RunAfterDeadline has passed since the latest
// deadline of the callers, and never if one of them has no deadline.
type RunFunc func(ctx context.Context) (Answer, error)

// Executor issues tickets that name this process, and runs their calls and those
// of adopted tickets at most once. It is safe for concurrent use.
type Executor struct {
	config Config

	mu        sync.Mutex
	ledgers   map[Incarnation]*ledger
	retired   map[Incarnation]bool // adopted earlier; the ledger has been removed
	answers   *answerCache
	successor *Incarnation // set when draining; never cleared
	handover  *Handover
}

// ledger holds the state of the tickets issued by one incarnation.
type ledger struct {
	accounts        map[string]*accountState
	firstHandoverAt time.Time // time of the first handover; zero for the executor's own ledger
}

// accountState holds the state of one account's tickets in a ledger.
type accountState struct {
	window  window
	running map[uint64]*execution
}

// execution is a run of a call, in progress or finished.
type execution struct {
	fingerprint Fingerprint
	done        chan struct{}
	answer      Answer // answer and err are valid once done is closed
	err         error

	cancelAt    time.Time   // when the run is cancelled; zero for never
	cancelTimer *time.Timer // fires at cancelAt; nil for never
	cancel      context.CancelCauseFunc
}

// New returns an executor for this process's incarnation. It fails if the
// configuration is invalid.
func New(config Config) (*Executor, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Executor{
		config:  config,
		ledgers: map[Incarnation]*ledger{config.Self: {accounts: make(map[string]*accountState)}},
		retired: make(map[Incarnation]bool),
		answers: newAnswerCache(config.MaxAnswersPerAccount, config.MaxAnswerBytes, config.AnswerTTL),
	}, nil
}

// Do redeems a parsed ticket that the account presented with the request
// identified by fp. The first redemption runs the call, one during the run waits
// for its end, and a later one gets the cached answer. It fails with an *Error;
// presenting the ticket again is always safe.
func (e *Executor) Do(ctx context.Context, t Ticket, accountID string, fp Fingerprint, run RunFunc) (Answer, error) {
	if t.Account != accountID {
		return nil, attemptError(ReasonOtherAccount, NotRun, nil)
	}
	x, err := e.findOrStart(ctx, t, fp, run)
	if err != nil {
		return nil, err
	}
	select {
	case <-x.done:
		return x.answer, x.err
	case <-ctx.Done():
		return nil, attemptError(ReasonWaitEnded, MayHaveRun, context.Cause(ctx))
	}
}

// findOrStart returns the ticket's execution, started now or by an earlier
// redemption.
func (e *Executor) findOrStart(ctx context.Context, t Ticket, fp Fingerprint, run RunFunc) (*execution, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, err := e.lookup(t)
	if err != nil {
		return nil, err
	}
	if x := a.running[t.Serial]; x != nil {
		if err := checkFingerprint(x.fingerprint, fp); err != nil {
			return nil, err
		}
		x.extendCancelTimer(ctx, e.config.RunAfterDeadline)
		return x, nil
	}
	if cached, ok := e.answers.get(answerKey{t.Incarnation, t.Account}, t.Serial); ok {
		return finishedExecution(cached.answer), checkFingerprint(cached.fingerprint, fp)
	}
	if !a.window.contains(t.Serial) {
		return nil, outsideWindowError(&a.window, t.Serial)
	}
	if err := outcomeError(a.window.outcome(t.Serial)); err != nil {
		return nil, err
	}
	if e.successor != nil {
		return nil, e.movedError()
	}
	if ctx.Err() != nil {
		return nil, attemptError(ReasonCancelled, NotRun, context.Cause(ctx))
	}
	return e.start(ctx, a, t, fp, run), nil
}

// lookup returns the state of the account's tickets in the ledger of the
// ticket's incarnation. It fails if this executor does not have the ledger or if
// the ledger has no tickets of the account.
func (e *Executor) lookup(t Ticket) (*accountState, error) {
	e.retireExpired()
	l := e.ledgers[t.Incarnation]
	if l == nil && e.retired[t.Incarnation] {
		return nil, attemptError(ReasonExpired, MayHaveRun, nil)
	}
	if l == nil {
		return nil, attemptError(ReasonNotExecutor, MayHaveRun, nil)
	}
	a := l.accounts[t.Account]
	if a == nil {
		return nil, attemptError(ReasonUnissued, MayHaveRun, nil)
	}
	return a, nil
}

func (e *Executor) start(ctx context.Context, a *accountState, t Ticket, fp Fingerprint, run RunFunc) *execution {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	x := &execution{fingerprint: fp, done: make(chan struct{}), cancel: cancel}
	x.startCancelTimer(ctx, e.config.RunAfterDeadline)
	a.running[t.Serial] = x
	a.window.record(t.Serial, outcomeStarted)
	go e.execute(detached, a, t, x, run)
	return x
}

// startCancelTimer schedules the cancellation of a new run, runOn after the
// deadline of ctx. Without a deadline the run is not cancelled.
func (x *execution) startCancelTimer(ctx context.Context, runOn time.Duration) {
	deadline, limited := ctx.Deadline()
	if !limited {
		return
	}
	x.cancelAt = deadline.Add(runOn)
	x.cancelTimer = time.AfterFunc(time.Until(x.cancelAt), func() { x.cancel(context.DeadlineExceeded) })
}

// extendCancelTimer postpones the cancellation of a run to runOn after the
// deadline of another caller's ctx, if that is later, and stops the timer if
// ctx has no deadline.
func (x *execution) extendCancelTimer(ctx context.Context, runOn time.Duration) {
	if x.cancelTimer == nil {
		return
	}
	deadline, limited := ctx.Deadline()
	switch {
	case !limited:
		x.cancelTimer.Stop()
		x.cancelTimer = nil
	case deadline.Add(runOn).After(x.cancelAt):
		x.cancelAt = deadline.Add(runOn)
		x.cancelTimer.Reset(time.Until(x.cancelAt))
	}
}

var errPanicked = errors.New("run function panicked or called runtime.Goexit")

func (e *Executor) execute(ctx context.Context, a *accountState, t Ticket, x *execution, run RunFunc) {
	var answer Answer
	err := errPanicked
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanicked, p)
		}
		x.cancel(nil)
		e.finish(a, t, x, answer, err)
	}()
	answer, err = run(ctx)
}

// finish records the outcome, and then notifies the callers that wait for it.
func (e *Executor) finish(a *accountState, t Ticket, x *execution, answer Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(a.running, t.Serial)
	if x.cancelTimer != nil {
		x.cancelTimer.Stop()
	}
	switch StateOf(err) {
	case NotRun:
		a.window.record(t.Serial, outcomeRefused)
		x.err = ticketError(ReasonRefused, NotRun, err)
	case Ran:
		a.window.record(t.Serial, outcomeRan)
		x.answer, x.err = e.storeAnswer(t, x.fingerprint, answer, err)
	default:
		x.err = ticketError(ReasonOutcomeUnknown, MayHaveRun, err)
	}
	close(x.done)
}

// storeAnswer caches and returns the answer of a call that ran. If err is not nil
// (an *Error with state Ran), there is no answer, and storeAnswer returns a final
// error.
func (e *Executor) storeAnswer(t Ticket, fp Fingerprint, answer Answer, err error) (Answer, error) {
	if err != nil {
		return nil, ticketError(ReasonAnswerGone, Ran, err)
	}
	cached := cachedAnswer{fingerprint: fp, answer: answer, storedAt: time.Now()}
	e.answers.put(answerKey{t.Incarnation, t.Account}, t.Serial, cached)
	return answer, nil
}

// finishedExecution returns an execution that has ended with answer.
func finishedExecution(answer Answer) *execution {
	x := &execution{answer: answer, done: make(chan struct{})}
	close(x.done)
	return x
}

func checkFingerprint(bound, presented Fingerprint) error {
	if bound == presented {
		return nil
	}
	return attemptError(ReasonDifferentRequest, NotRun, nil)
}

func outsideWindowError(w *window, serial uint64) error {
	if serial < w.oldest() {
		return attemptError(ReasonExpired, MayHaveRun, nil)
	}
	return attemptError(ReasonUnissued, MayHaveRun, nil)
}

// outcomeError returns nil for an unused ticket, whose call can be started, and
// otherwise the error to return for its outcome.
func outcomeError(o outcome) error {
	switch o {
	case outcomeRan:
		return ticketError(ReasonAnswerGone, Ran, nil)
	case outcomeStarted:
		return ticketError(ReasonOutcomeUnknown, MayHaveRun, nil)
	case outcomeRefused:
		return ticketError(ReasonRefused, NotRun, nil)
	}
	return nil
}

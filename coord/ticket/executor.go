package ticket

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Answer is the encoded answer of a call, opaque to this package. It is shared
// between retries and must not be modified.
type Answer []byte

// RunFunc makes the call. A nil error means that it ran and Answer is its
// result, be it a service's own error. An error of [Refused] means that nothing
// was executed; any other leaves the outcome unknown and the call is never
// begun again. Attempts at several endpoints, where the first refused for
// certain, belong inside one RunFunc.
//
// Its context has the values of the first caller, but ends neither with that
// caller nor at its deadline: others may wait for the same run, or ask for its
// answer later. It ends with the cause context.DeadlineExceeded, Config.RunOn
// after the last deadline of those who waited.
type RunFunc func(ctx context.Context) (Answer, error)

// Executor issues tickets that name this process and runs them at most once. It
// is safe for concurrent use.
type Executor struct {
	config Config

	mu        sync.Mutex
	ledgers   map[Incarnation]*ledger
	retired   map[Incarnation]bool // adopted once, served no more
	answers   *answerCache
	successor *Incarnation // set when draining; never cleared
	handover  *Handover
}

// ledger is what is known of one incarnation's tickets.
type ledger struct {
	accounts map[string]*account
	adopted  time.Time // zero for the executor's own
}

// account is one account's part of a ledger.
type account struct {
	window  window
	running map[uint64]*execution
}

// execution is a run that has begun and not ended.
type execution struct {
	fingerprint Fingerprint
	done        chan struct{}
	answer      Answer // once done is closed
	err         error

	until  time.Time   // when the run is given up; zero for never
	giveUp *time.Timer // at until; nil for never
	cancel context.CancelCauseFunc
}

// New returns an executor for this process's incarnation.
func New(config Config) (*Executor, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Executor{
		config:  config,
		ledgers: map[Incarnation]*ledger{config.Self: {accounts: make(map[string]*account)}},
		retired: make(map[Incarnation]bool),
		answers: newAnswerCache(config.KeepAnswers, config.KeepBytes, config.KeepFor),
	}, nil
}

// Do redeems a parsed ticket presented by the account with the request of the
// fingerprint. The first redemption runs the call; one that comes during the
// run waits for its end; a later one gets the kept answer. It fails with an
// *Error; presenting the ticket again is always safe.
func (e *Executor) Do(ctx context.Context, t Ticket, accountID string, fp Fingerprint, run RunFunc) (Answer, error) {
	if t.Account != accountID {
		return nil, newError(ReasonOtherAccount, NotRun, nil)
	}
	x, err := e.join(ctx, t, fp, run)
	if err != nil {
		return nil, err
	}
	select {
	case <-x.done:
		return x.answer, x.err
	case <-ctx.Done():
		return nil, newError(ReasonWaitEnded, MayHaveRun, context.Cause(ctx))
	}
}

// join returns the ticket's execution, begun by this call or an earlier one.
func (e *Executor) join(ctx context.Context, t Ticket, fp Fingerprint, run RunFunc) (*execution, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, err := e.lookup(t)
	if err != nil {
		return nil, err
	}
	if x := a.running[t.Serial]; x != nil {
		if err := sameRequest(x.fingerprint, fp); err != nil {
			return nil, err
		}
		x.waitFor(ctx, e.config.RunOn)
		return x, nil
	}
	if k, ok := e.answers.get(owner{t.Executor, t.Account}, t.Serial); ok {
		return ended(k.answer), sameRequest(k.fingerprint, fp)
	}
	if !a.window.contains(t.Serial) {
		return nil, outside(&a.window, t.Serial)
	}
	if err := spent(a.window.outcome(t.Serial)); err != nil {
		return nil, err
	}
	if e.successor != nil {
		return nil, e.moved()
	}
	if ctx.Err() != nil {
		return nil, newError(ReasonCancelled, NotRun, context.Cause(ctx))
	}
	return e.begin(ctx, a, t, fp, run), nil
}

// lookup finds the account's part of the ledger that the ticket belongs to.
func (e *Executor) lookup(t Ticket) (*account, error) {
	e.retireAged()
	l := e.ledgers[t.Executor]
	if l == nil && e.retired[t.Executor] {
		return nil, newError(ReasonExpired, MayHaveRun, nil)
	}
	if l == nil {
		return nil, newError(ReasonNotExecutor, MayHaveRun, nil)
	}
	a := l.accounts[t.Account]
	if a == nil {
		return nil, newError(ReasonUnissued, MayHaveRun, nil)
	}
	return a, nil
}

func (e *Executor) begin(ctx context.Context, a *account, t Ticket, fp Fingerprint, run RunFunc) *execution {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	x := &execution{fingerprint: fp, done: make(chan struct{}), cancel: cancel}
	x.giveUpAfter(ctx, e.config.RunOn)
	a.running[t.Serial] = x
	a.window.record(t.Serial, begun)
	go e.execute(detached, a, t, x, run)
	return x
}

// giveUpAfter bounds a run that begins by the deadline of its first caller.
func (x *execution) giveUpAfter(ctx context.Context, runOn time.Duration) {
	deadline, limited := ctx.Deadline()
	if !limited {
		return
	}
	x.until = deadline.Add(runOn)
	x.giveUp = time.AfterFunc(time.Until(x.until), func() { x.cancel(context.DeadlineExceeded) })
}

// waitFor has a bounded run go on for as long as one more caller waits for it.
func (x *execution) waitFor(ctx context.Context, runOn time.Duration) {
	if x.giveUp == nil {
		return
	}
	deadline, limited := ctx.Deadline()
	switch {
	case !limited:
		x.giveUp.Stop()
		x.giveUp = nil
	case deadline.Add(runOn).After(x.until):
		x.until = deadline.Add(runOn)
		x.giveUp.Reset(time.Until(x.until))
	}
}

var errPanicked = errors.New("run function panicked or exited")

func (e *Executor) execute(ctx context.Context, a *account, t Ticket, x *execution, run RunFunc) {
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

// finish records the outcome before any waiter learns of it.
func (e *Executor) finish(a *account, t Ticket, x *execution, answer Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(a.running, t.Serial)
	if x.giveUp != nil {
		x.giveUp.Stop()
	}
	switch StateOf(err) {
	case NotRun:
		a.window.record(t.Serial, refused)
		x.err = finalError(ReasonRefused, NotRun, err)
	case Ran:
		a.window.record(t.Serial, ran)
		x.answer, x.err = e.keep(t, x.fingerprint, answer, err)
	default:
		x.err = finalError(ReasonOutcomeUnknown, MayHaveRun, err)
	}
	close(x.done)
}

// keep stores an answer. A run that ended without one has an error.
func (e *Executor) keep(t Ticket, fp Fingerprint, answer Answer, err error) (Answer, error) {
	if err != nil {
		return nil, finalError(ReasonAnswerGone, Ran, err)
	}
	k := keptAnswer{fingerprint: fp, answer: answer, at: time.Now()}
	e.answers.put(owner{t.Executor, t.Account}, t.Serial, k)
	return answer, nil
}

func ended(answer Answer) *execution {
	x := &execution{answer: answer, done: make(chan struct{})}
	close(x.done)
	return x
}

func sameRequest(bound, presented Fingerprint) error {
	if bound == presented {
		return nil
	}
	return newError(ReasonDifferentRequest, NotRun, nil)
}

func outside(w *window, serial uint64) error {
	if serial < w.low() {
		return newError(ReasonExpired, MayHaveRun, nil)
	}
	return newError(ReasonUnissued, MayHaveRun, nil)
}

// spent returns the error of a ticket that can't be begun, nil if it can.
func spent(o outcome) error {
	switch o {
	case ran:
		return finalError(ReasonAnswerGone, Ran, nil)
	case begun:
		return finalError(ReasonOutcomeUnknown, MayHaveRun, nil)
	case refused:
		return finalError(ReasonRefused, NotRun, nil)
	}
	return nil
}

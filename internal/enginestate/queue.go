package enginestate

import (
	"errors"
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
)

// pending is a request that is queued, or waits for its import.
type pending struct {
	Request
	handle      fairqueue.Handle[*pending]
	importing   bool
	requestedAt time.Time
	poppedAt    time.Time // when it was removed from the queue
}

// compute returns the number of prompt tokens that the engine must compute.
func (p *pending) compute() int {
	return max(0, p.PromptTokens-p.CachedTokens-p.ImportTokens)
}

// Request queues r for a grant, which a later Tick returns. It returns a *RefusedError if r cannot
// be granted in time for its deadline, and ErrDuplicate if the run is already queued or granted;
// neither changes the state.
func (e *Engine) Request(now time.Time, r Request) error {
	if e.waiting[r.Run] != nil || e.grants[r.Run] != nil {
		return ErrDuplicate
	}
	if wait := e.unavailableFor(now); wait > 0 {
		return &RefusedError{Reason: "endpoint is out of rotation", RetryAfter: wait}
	}
	p := &pending{Request: r, importing: r.ImportTokens > 0, requestedAt: now}
	handle, err := e.queue.Push(e.nextStart(now), e.item(p))
	if err != nil {
		return toRefusedError(err)
	}
	p.handle = handle
	e.waiting[r.Run] = p
	return nil
}

// nextStart returns when the engine can start on the head of the queue. Predictions of the queue
// begin there, since it does not count the requests it has popped.
func (e *Engine) nextStart(now time.Time) time.Time {
	return now.Add(e.precedingWork(now))
}

// item returns p as a queue item, whose deadline is the latest start that meets p's deadline.
func (e *Engine) item(p *pending) fairqueue.Item[*pending] {
	prefill := e.prefillTime(p.Model, p.compute())
	item := fairqueue.Item[*pending]{Account: p.Account, Cost: (requestCost + prefill).Seconds(), Value: p}
	if !p.Deadline.IsZero() {
		item.StartBy = p.Deadline.Add(-prefill)
	}
	return item
}

func toRefusedError(err error) error {
	var refused *fairqueue.RejectedError
	if !errors.As(err, &refused) {
		return err
	}
	return &RefusedError{Reason: refused.Reason.String(), RetryAfter: refused.RetryAfter}
}

// Cancel removes a request that was not granted. It returns false if the run is not queued: it may
// be granted. Repeating it is safe.
func (e *Engine) Cancel(run string) bool {
	p := e.waiting[run]
	if p == nil {
		return false
	}
	delete(e.waiting, run)
	if !e.queue.Cancel(p.handle) {
		e.unpark(p)
	}
	return true
}

func (e *Engine) unpark(p *pending) {
	same := func(o *pending) bool { return o == p }
	e.parked = slices.DeleteFunc(e.parked, same)
	e.ready = slices.DeleteFunc(e.ready, same)
}

// ImportDone records that the import for a queued run has ended, with the given number of tokens
// imported. Missing tokens are recomputed.
func (e *Engine) ImportDone(run string, tokens int) {
	p := e.waiting[run]
	if p == nil || !p.importing {
		return
	}
	p.importing = false
	e.queue.Charge(p.Account, e.prefillTime(p.Model, p.ImportTokens-tokens).Seconds())
	p.ImportTokens = tokens
	if i := slices.Index(e.parked, p); i >= 0 {
		e.parked = slices.Delete(e.parked, i, i+1)
		e.ready = append(e.ready, p)
	}
}

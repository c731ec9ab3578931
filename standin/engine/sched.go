package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// submit queues a run, or returns the reason why it is rejected.
func (e *Engine) submit(r *run) *enginewire.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	switch {
	case e.role == roleLeaving:
		return notRun(enginewire.ErrLeaving, "the engine accepts no new runs")
	case !e.serves(r.from.key()):
		return notRun(enginewire.ErrNotLoaded, fmt.Sprintf("%+v is not loaded", r.from.key()))
	case e.runs[r.id] != nil:
		return notRun(enginewire.ErrRunExists, "the run id was used before")
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return notRun(enginewire.ErrOverloaded, "the queue is full")
	}
	r.incarnation = e.name
	r.terminated = e.terminated
	r.arrival = e.arrivals
	e.arrivals++
	e.runs[r.id] = r
	if e.cfg.TimeScale == 0 {
		e.runNow(r)
		return nil
	}
	at, _ := slices.BinarySearchFunc(e.waiting, r, byUrgency)
	e.waiting = slices.Insert(e.waiting, at, r)
	if !e.loopRunning {
		e.loopRunning = true
		go e.loop()
	}
	return nil
}

func byUrgency(a, b *run) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(int64(a.arrival) - int64(b.arrival))
}

// loop executes steps until there is no work. A step that ends late by less than its duration
// shortens the next one.
func (e *Engine) loop() {
	ends := time.Now()
	for {
		d, more := e.planStep()
		if !more {
			return
		}
		if slow := e.Faults.Get().Slow; slow > 1 {
			d = time.Duration(float64(d) * slow)
		}
		d = e.cfg.scaled(d)
		if now := time.Now(); now.Sub(ends) > d {
			ends = now
		}
		ends = ends.Add(d)
		if !fault.Sleep(e.closed, time.Until(ends)) || !e.waitUntilResumed() {
			return
		}
		e.finishStep()
	}
}

// waitUntilResumed blocks while the process is frozen or dead. It returns false if the engine is
// closed.
func (e *Engine) waitUntilResumed() bool {
	for {
		changed := e.Faults.Changed()
		if !e.Faults.Get().stopped() {
			return true
		}
		select {
		case <-changed:
		case <-e.closed:
			return false
		}
	}
}

// planStep fills the batch and returns the duration of the next step, or false if the batch is
// empty.
func (e *Engine) planStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.removeExpired(now)
	e.admit(now)
	if len(e.batch) == 0 {
		e.loopRunning = false
		return 0, false
	}
	budget := e.cfg.BlockTokens
	decoding := 0
	for _, r := range e.batch {
		r.prefillStep = min(r.prefillLeft, budget)
		budget -= r.prefillStep
		if r.prefillLeft == 0 {
			decoding++
		}
	}
	return e.stepTime(decoding, e.cfg.BlockTokens-budget), true
}

func (e *Engine) stepTime(decoding, prefill int) time.Duration {
	d := time.Duration(float64(prefill) / e.cfg.PrefillSpeed * float64(time.Second))
	if decoding > 0 {
		d += e.cfg.DecodeStep + time.Duration(decoding-1)*e.cfg.DecodePerRun
	}
	return d
}

// admit moves runs from the queue to the batch, and ends those whose deadline has passed.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.batch) < e.cfg.MaxRunning {
		r := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		if !r.deadline.IsZero() && now.After(r.deadline) {
			e.end(r, notRun(enginewire.ErrOverloaded, "the deadline passed in the queue"))
			continue
		}
		e.begin(r)
		e.batch = append(e.batch, r)
	}
}

// finishStep advances each run of the batch by one step and removes those that are complete.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, e.advance)
}

// advance advances a run by one step and reports whether it is complete.
func (e *Engine) advance(r *run) bool {
	if r.prefillLeft > 0 {
		r.prefillLeft -= r.prefillStep
		r.prefillStep = 0
		if r.prefillLeft > 0 {
			return false
		}
		e.cachePrompt(r)
	}
	if int(r.produced.Add(1)) == r.maxTokens {
		e.complete(r)
		return true
	}
	r.wake()
	return false
}

// abort ends a waiting or running run with an error.
func (e *Engine) abort(r *run, err *enginewire.Error) {
	same := func(other *run) bool { return other == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.batch = slices.DeleteFunc(e.batch, same)
	e.end(r, err)
}

// scheduleExpiry makes the run expire after KeepRuns, unless a stream is attached then.
func (e *Engine) scheduleExpiry(r *run) {
	e.expiries = append(e.expiries, expiry{r, time.Now().Add(e.cfg.KeepRuns)})
}

// removeExpired cancels and removes the expired runs, and the oldest ended ones if more than
// maxRetainedRuns are retained.
func (e *Engine) removeExpired(now time.Time) {
	for len(e.expiries) > 0 {
		x := e.expiries[0]
		early := len(e.expiries) > maxRetainedRuns && x.run.is(phaseEnded)
		if now.Before(x.at) && !early {
			return
		}
		e.expiries[0] = expiry{}
		e.expiries = e.expiries[1:]
		if x.run.reader != nil || e.runs[x.run.id] != x.run {
			continue
		}
		e.abort(x.run, &enginewire.Error{Code: enginewire.ErrInternal, Message: "abandoned"})
		delete(e.runs, x.run.id)
	}
}

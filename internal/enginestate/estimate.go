package enginestate

import (
	"errors"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
)

// Estimate is the owner's response to an entry node that compares engines for a request.
type Estimate struct {
	InRotation  bool
	Wait        time.Duration // until the prefill can start
	PrefillRate float64       // tokens per second
	Learned     bool          // PrefillRate is measured, not the prior
	StepTime    time.Duration
	Running     int
	Waiting     int
}

// Estimate predicts the wait and speed for r if it were requested now. It does not change the
// state.
func (e *Engine) Estimate(now time.Time, r Request) Estimate {
	speed := e.speed(r.Model)
	return Estimate{
		InRotation:  e.unavailableFor(now) == 0,
		Wait:        e.precedingWork(now) + e.queueWait(now, r) + e.slotWait(now) + e.health.probeWait(),
		PrefillRate: speed.prefill.Value(),
		Learned:     speed.prefill.Samples() > 0,
		StepTime:    seconds(speed.step.Value()),
		Running:     len(e.grants),
		Waiting:     len(e.waiting),
	}
}

// queueWait returns the time until r would leave the queue in fair order. It pushes an item whose
// deadline has passed: the queue refuses the item with the predicted wait, and its state does not
// change.
func (e *Engine) queueWait(now time.Time, r Request) time.Duration {
	if e.queue.Len() == 0 {
		return 0
	}
	p := &pending{Request: r}
	item := e.item(p)
	item.StartBy = now.Add(-time.Nanosecond)
	_, err := e.queue.Push(e.nextStart(now), item)
	var refused *fairqueue.RejectedError
	if errors.As(err, &refused) {
		return refused.Wait
	}
	return 0
}

// precedingWork returns the time that the engine needs for all prefills that precede the queue:
// those granted, ready, waiting for an import, or granted by other nodes.
func (e *Engine) precedingWork(now time.Time) time.Duration {
	work := e.outstanding(now) + seconds(e.foreign.seconds*e.foreign.decayFactor(now))
	for _, p := range e.parked {
		work += e.prefillTime(p.Model, p.compute())
	}
	for _, p := range e.ready {
		work += e.prefillTime(p.Model, p.compute())
	}
	return work
}

// outstanding returns the time that the engine still needs for granted prefills, which it computes
// in order of grant.
func (e *Engine) outstanding(now time.Time) time.Duration {
	done := e.lastPrefillEnd
	for _, g := range e.prefills {
		if g.GrantedAt.After(done) {
			done = g.GrantedAt
		}
		done = done.Add(e.prefillTime(g.Model, g.Compute))
	}
	return max(0, done.Sub(now))
}

// slotWait returns the time until the engine's batch has room, 0 if it has now.
func (e *Engine) slotWait(now time.Time) time.Duration {
	running := float64(len(e.grants)) + e.foreign.runs*e.foreign.decayFactor(now)
	excess := running + float64(e.queue.Len()) + 1 - float64(e.cfg.MaxRunning)
	if excess <= 0 || e.cfg.MaxRunning <= 0 {
		return 0
	}
	return seconds(excess * e.runTime.Value() / float64(e.cfg.MaxRunning))
}

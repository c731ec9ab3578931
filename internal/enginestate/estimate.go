package enginestate

import (
	"errors"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
)

// Estimate is the owner's answer to an entry node that weighs where to place a
// request.
type Estimate struct {
	InRotation  bool
	Wait        time.Duration // until the prefill could start
	PrefillRate float64       // tokens per second
	Learned     bool          // PrefillRate was observed, not assumed
	StepTime    time.Duration
	Running     int
	Waiting     int
}

// Estimate predicts what r would meet if it were requested now. It does not
// change the state.
func (e *Engine) Estimate(now time.Time, r Request) Estimate {
	known := e.speed(r.Model)
	return Estimate{
		InRotation:  e.out(now) == 0,
		Wait:        e.ahead(now) + e.queueWait(now, r) + e.slotWait(now) + e.health.probeWait(),
		PrefillRate: known.prefill.Value(),
		Learned:     known.prefill.Samples() > 0,
		StepTime:    seconds(known.step.Value()),
		Running:     len(e.grants),
		Waiting:     len(e.waiting),
	}
}

// queueWait is the time until r's turn, by the fair order. The queue tells it
// by refusing an item whose deadline has passed, which leaves no trace.
func (e *Engine) queueWait(now time.Time, r Request) time.Duration {
	if e.queue.Len() == 0 {
		return 0
	}
	p := &pending{Request: r}
	item := e.item(p)
	item.Deadline = now.Add(-time.Nanosecond)
	_, err := e.queue.Push(e.front(now), item)
	var refused *fairqueue.RefusedError
	if errors.As(err, &refused) {
		return refused.Wait
	}
	return 0
}

// ahead is the time that the engine needs for the prefills that precede the
// whole queue: granted, ready, waiting for an import, or of other nodes.
func (e *Engine) ahead(now time.Time) time.Duration {
	work := e.outstanding(now) + seconds(e.foreign.seconds*e.foreign.faded(now))
	for _, p := range e.parked {
		work += e.prefillTime(p.Model, p.compute())
	}
	for _, p := range e.ready {
		work += e.prefillTime(p.Model, p.compute())
	}
	return work
}

// outstanding is the time that the engine still needs for granted prefills,
// which it computes in order of grant.
func (e *Engine) outstanding(now time.Time) time.Duration {
	done := e.lastFirst
	for _, g := range e.prefills {
		if g.GrantedAt.After(done) {
			done = g.GrantedAt
		}
		done = done.Add(e.prefillTime(g.Model, g.Compute))
	}
	return max(0, done.Sub(now))
}

// slotWait is the time until a place in the engine's batch comes free, if it is
// full.
func (e *Engine) slotWait(now time.Time) time.Duration {
	running := float64(len(e.grants)) + e.foreign.runs*e.foreign.faded(now)
	over := running + float64(e.queue.Len()) + 1 - float64(e.cfg.MaxRunning)
	if over <= 0 || e.cfg.MaxRunning <= 0 {
		return 0
	}
	return seconds(over * e.life.Value() / float64(e.cfg.MaxRunning))
}

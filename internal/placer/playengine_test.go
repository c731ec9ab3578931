package placer_test

import (
	"cmp"
	"slices"
	"time"
)

// playEngine is an engine of a play. It admits prompts by priority. If all slots are taken, it preempts
// the newest of its least urgent runs for a more urgent prompt; the preempted run's prompt is read
// again. While it reads, the runs in other slots pause.
type playEngine struct {
	play             *play
	running, waiting []*playCall
	busyUntil        time.Time // it reads prompts until then
}

// playRun is the state of a run.
type playRun struct {
	starts            int // events of earlier starts are ignored
	started, stopped  time.Time
	left              time.Duration // to decode, from the latest start
	paused            time.Duration // while the engine read other prompts, since the latest start
	hasEvent, wasLate bool
}

func (e *playEngine) send(call *playCall) {
	call.run.left = call.class.decoding
	e.waiting = append(e.waiting, call)
	e.admit()
}

// admit starts waiting prompts, the most urgent ones first.
func (e *playEngine) admit() {
	for len(e.waiting) > 0 {
		slices.SortStableFunc(e.waiting, func(a, b *playCall) int { return cmp.Compare(a.class.priority, b.class.priority) })
		next := e.waiting[0]
		if len(e.running) >= e.play.slots && !e.preempt(next.class.priority) {
			return
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(c *playCall) bool { return c == next })
		e.start(next)
	}
}

// preempt stops the newest of the least urgent runs if it is less urgent than the given priority.
func (e *playEngine) preempt(priority int) bool {
	worst := e.running[0]
	for _, c := range e.running {
		if c.class.priority >= worst.class.priority {
			worst = c
		}
	}
	if worst.class.priority <= priority {
		return false
	}
	r := &worst.run
	r.starts++
	r.left = max(r.left-max(e.play.now.Sub(r.started)-r.paused, 0), time.Millisecond)
	r.stopped = e.play.now
	e.play.preempted++
	e.running = slices.DeleteFunc(e.running, func(c *playCall) bool { return c == worst })
	e.waiting = append(e.waiting, worst)
	return true
}

func (e *playEngine) start(call *playCall) {
	const rereadPerMs = 157
	p, r := e.play, &call.run
	reading := call.class.reading
	if !r.stopped.IsZero() {
		reading = time.Duration(call.class.prompt) * time.Millisecond / rereadPerMs
	}
	for _, c := range e.running {
		c.run.paused += reading
	}
	e.running = append(e.running, call)
	if e.busyUntil.Before(p.now) {
		e.busyUntil = p.now
	}
	e.busyUntil = e.busyUntil.Add(reading)
	begins := e.busyUntil.Sub(p.now) + playedFirst
	r.starts++
	r.started, r.paused = p.now.Add(begins), 0
	start := r.starts
	p.after(begins, func() {
		if r.starts == start {
			e.onEvent(call)
		}
	})
	var end func()
	end = func() {
		switch {
		case r.starts != start:
		case r.paused > 0:
			rest := r.paused
			r.started, r.paused = r.started.Add(rest), 0
			p.after(rest, end)
		default:
			e.onEnd(call)
		}
	}
	p.after(begins+r.left, end)
}

// onEvent counts the first event of a stream, or the pause since it was preempted.
func (e *playEngine) onEvent(call *playCall) {
	p, r, priority := e.play, &call.run, call.class.priority
	if r.hasEvent {
		if p.now.Sub(r.stopped) > playedPause && !r.wasLate {
			r.wasLate = true
			p.inTime[priority]--
		}
		return
	}
	r.hasEvent = true
	call.placement.Member.Load.FirstEvent(call.placement.PrefillTokens)
	r.wasLate = p.now.Sub(call.began) > call.class.objective
	if !r.wasLate {
		p.inTime[priority]++
	}
	if p.now.Sub(call.tried) <= max(2*time.Second, 4*call.class.objective, 8*playedPause) {
		p.served[priority]++
	}
}

func (e *playEngine) onEnd(call *playCall) {
	call.placement.Member.Load.End(call.placement.MemoryTokens)
	call.placement.RecordRun(e.play.now.Sub(call.sent))
	e.running = slices.DeleteFunc(e.running, func(c *playCall) bool { return c == call })
	e.admit()
}

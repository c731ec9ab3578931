package forward

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/enginepace"
)

// pauses measures the pauses between the events that a caller receives, also across the parts of a
// stream that several endpoints delivered.
type pauses struct {
	lastAt  time.Time     // when the last events were read; zero before the first ones
	longest time.Duration // between two reads that brought events
}

// record records a read that brought events.
func (p *pauses) record(now time.Time) {
	if !p.lastAt.IsZero() {
		p.longest = max(p.longest, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// observesPauses reports whether the pauses of this request's stream are measured.
func (x *exchange) observesPauses() bool { return x.route.GapObjective > 0 || x.observesPace() }

// observesPace reports whether the pace of the endpoint is observed. A helper observes that of the
// endpoints it sends to.
func (x *exchange) observesPace() bool {
	return x.Pace != nil && x.helper == "" && x.service.ObservesPace()
}

// observeEvents records a read that brought the given number of complete events.
func (x *exchange) observeEvents(count int) {
	if count == 0 || !x.observesPauses() {
		return
	}
	now := x.Clock.Now()
	x.pauses.record(now)
	switch {
	case x.pace != nil:
		x.pace.Observe(count, now)
	case x.observesPace():
		m := x.placement.Member
		x.pace = x.Pace.ForName(x.service.Name).Open(enginepace.Engine{ID: m.ID, StartedMs: m.StartedMs}, m.Load, now)
	}
}

// awaitEvents records that the last events were written to the caller and the next ones are awaited.
func (x *exchange) awaitEvents() {
	if x.pace != nil {
		x.pace.Wait(x.Clock.Now())
	}
}

// logPace adds what the placement knew of the endpoint's pace to the request's log event.
func (p *Placement) logPace(event *zerolog.Event) *zerolog.Event {
	if p.SlowFactor > 1 {
		event = event.Float64("slow", p.SlowFactor)
	}
	if p.StallMs > 0 {
		event = event.Float64("stall_ms", p.StallMs)
	}
	return event
}

// endPace ends the observation of the endpoint's part of a stream.
func (x *exchange) endPace() {
	x.pace.Close()
	x.pace = nil
}

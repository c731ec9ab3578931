package admission

import (
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

const (
	// arrivalHalfLife is the half-life of the arrival rate of a priority. A node that gets four
	// prompts of a priority in a second, as one of 64 nodes does, counts about 17 in this time's mean;
	// bursts are shorter.
	arrivalHalfLife = 3 * time.Second
	// recentArrival is the time for which a priority counts as present after its last prompt. It
	// covers the gaps between the prompts of a node that gets one in some seconds.
	recentArrival = 10 * time.Second
)

// arrivals is the rate at which prompts of a priority arrive at a node, and the time of the last one.
type arrivals struct {
	rate decay.Rate // prompts per second
	last time.Time
}

// RecordArrival records that a prompt was placed or refused. A prompt that waits in between counts
// once.
func (d *Demand) RecordArrival(priority int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := &d.arrivals[clamp(priority)]
	a.rate.Add(1, arrivalHalfLife, now)
	a.last = now
}

// Others describes the recent prompts of priorities other than a prompt's own.
type Others struct {
	// UrgentPerSecond is the rate of more urgent prompts at this node.
	UrgentPerSecond float64
	// MoreUrgent and LessUrgent report whether more or less urgent prompts arrived recently.
	MoreUrgent, LessUrgent bool
}

// Others returns the recent prompts of priorities other than the given one.
func (d *Demand) Others(priority int, now time.Time) (o Others) {
	priority = clamp(priority)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.arrivals {
		a := &d.arrivals[i]
		if i == priority || a.last.IsZero() || now.Sub(a.last) > recentArrival {
			continue
		}
		if i > priority {
			o.LessUrgent = true
			continue
		}
		o.MoreUrgent = true
		o.UrgentPerSecond += a.rate.At(arrivalHalfLife, now)
	}
	return o
}

package admission

import "time"

const (
	// recentArrival is the time for which a route priority counts as present after its last prompt. It
	// covers the gaps between the prompts of a node that gets one in some seconds.
	recentArrival = 10 * time.Second
	// arrivalWeight is the weight of the newest prompt in the mean size of its route priority.
	arrivalWeight = 0.05
)

// arrivals describes the recent prompts of a route priority.
type arrivals struct {
	last time.Time // zero if there was none
	mean float64   // size in tokens, weighted towards recent prompts
}

// RecordArrival records that a prompt of a route with the given priority, which holds the given number of
// tokens while it runs, was placed or refused.
func (d *Demand) RecordArrival(priority, tokens int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := &d.arrivals[clamp(priority)]
	if a.last.IsZero() {
		a.mean = float64(tokens)
	}
	a.mean += arrivalWeight * (float64(tokens) - a.mean)
	a.last = now
}

// Others describes the recent prompts of routes that are more or less urgent than a prompt's.
type Others struct {
	MoreUrgent, LessUrgent bool // such prompts arrived
	// LeastUrgentTokens is the mean size of prompts of the least urgent route, 0 if there are none.
	LeastUrgentTokens float64
}

// Others returns the recent prompts of routes with other priorities than the given one.
func (d *Demand) Others(priority int, now time.Time) (o Others) {
	priority = clamp(priority)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.arrivals {
		a := &d.arrivals[i]
		if a.last.IsZero() || now.Sub(a.last) > recentArrival {
			continue
		}
		o.MoreUrgent = o.MoreUrgent || i < priority
		if i > priority {
			o.LessUrgent, o.LeastUrgentTokens = true, a.mean
		}
	}
	return o
}

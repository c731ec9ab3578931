package admission

import "time"

// recentArrival is the time for which a route priority counts as present after its last prompt. It
// covers the gaps between the prompts of a node that gets one in some seconds.
const recentArrival = 10 * time.Second

// RecordArrival records that a prompt of a route with the given priority was placed or refused.
func (d *Demand) RecordArrival(priority int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[clamp(priority)] = now
}

// Others reports whether prompts of routes that are more, or less, urgent than the given priority
// arrived recently.
func (d *Demand) Others(priority int, now time.Time) (moreUrgent, lessUrgent bool) {
	priority = clamp(priority)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, last := range d.arrivals {
		if last.IsZero() || now.Sub(last) > recentArrival {
			continue
		}
		moreUrgent = moreUrgent || i < priority
		lessUrgent = lessUrgent || i > priority
	}
	return moreUrgent, lessUrgent
}

package origin

import (
	"slices"
	"sync"
	"time"
)

// maxObservationGap is the longest time between two reads of the registry within which no endpoint
// registers, begins streams and leaves unseen: endpoints that leave keep serving for seconds.
const maxObservationGap = 3 * time.Second

// Observer records which releases of which services this node has seen in the registry. It is safe for
// concurrent use.
type Observer struct {
	mu         sync.Mutex
	byEndpoint map[string]Origin
	listed     map[Origin]int       // number of endpoints
	seenUntil  map[Origin]time.Time // when the last endpoint of a release was removed
	// since is the time since when the registry has been followed without a gap, and confirmedAt a time at
	// which this node's copy was certainly current. Both are zero before the first read.
	since, confirmedAt time.Time
	hadGap             bool
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{byEndpoint: make(map[string]Origin), listed: make(map[Origin]int), seenUntil: make(map[Origin]time.Time)}
}

// RecordRead records a read of the registry. gap is the time since the previous confirmation.
func (o *Observer) RecordRead(confirmedAt time.Time, gap time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.since.IsZero():
		o.since = now
	case gap > maxObservationGap:
		o.since, o.hadGap = now, true
	}
	o.confirmedAt = confirmedAt
}

// Set records the service and release of an endpoint.
func (o *Observer) Set(endpoint string, of Origin, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byEndpoint[endpoint] == of {
		return
	}
	o.remove(endpoint, now)
	o.byEndpoint[endpoint] = of
	o.listed[of]++
}

// Remove records that an endpoint is gone.
func (o *Observer) Remove(endpoint string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remove(endpoint, now)
}

func (o *Observer) remove(endpoint string, now time.Time) {
	of, known := o.byEndpoint[endpoint]
	if !known {
		return
	}
	delete(o.byEndpoint, endpoint)
	o.listed[of]--
	if o.listed[of] == 0 {
		delete(o.listed, of)
		o.seenUntil[of] = now
	}
}

// View returns what this node knows of a service, with the releases of which an endpoint was listed within
// the given time. firstStart states whether the node was not listed before it started.
func (o *Observer) View(service string, within time.Duration, firstStart bool, now time.Time) View {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := View{
		Releases: o.releases(service, now.Add(-within)), FirstStart: firstStart && !o.hadGap,
		AgeMS: now.Sub(o.confirmedAt).Milliseconds(),
	}
	if !o.since.IsZero() {
		v.ObservedMS = now.Sub(o.since).Milliseconds()
	}
	return v
}

// releases returns the releases of a service of which an endpoint was listed since the given time, at most
// maxViewReleases. It forgets those that were listed before only. o.mu is held.
func (o *Observer) releases(service string, since time.Time) []string {
	var list []string
	for of := range o.listed {
		if of.Service == service {
			list = append(list, of.Release)
		}
	}
	for of, until := range o.seenUntil {
		switch {
		case until.Before(since):
			delete(o.seenUntil, of)
		case of.Service == service && o.listed[of] == 0:
			list = append(list, of.Release)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), maxViewReleases)]
}

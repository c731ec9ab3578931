package origin

import (
	"slices"
	"sync"
	"time"
)

// MaxViewAge is the age up to which a node's view of the registry counts as current.
const MaxViewAge = 3 * time.Second

// View is what a node knows of the releases of one service.
type View struct {
	// Releases are the releases of which the node has seen an endpoint within the retention, at most
	// maxViewReleases. The node can have sent requests to endpoints of these releases only.
	Releases []string `json:"releases,omitempty"`
	// ObservedMS is the time for which the node has followed the registry without a gap.
	ObservedMS int64 `json:"observed_ms"`
	// Recorded is true if Releases has those which served before, from the records in the platform's store.
	Recorded bool `json:"recorded,omitempty"`
	// FirstStart is true if the node was not listed before it started, so that nothing ran there before, and
	// has followed the registry without a gap since.
	FirstStart bool `json:"first_start,omitempty"`
	// AgeMS is the age of the node's copy of the registry.
	AgeMS int64 `json:"age_ms"`
}

// maxViewReleases bounds the releases of a View. More than one are as good as any number.
const maxViewReleases = 4

// isCurrent reports whether no endpoint of a new release can have been known to other nodes for long when the
// view did not have it.
func (v *View) isCurrent() bool { return v.AgeMS <= MaxViewAge.Milliseconds() }

// soleRelease returns the release that alone can have begun any stream within the last window, by the view of
// this node and those of others. complete is true if the views of all nodes are there.
//
// A stream can be begun at a release only by a node that knows an endpoint of it. All such releases are in the
// views if one of these is current and goes back far enough, or if all nodes' views are there and each goes
// back far enough. The records in the platform's store make a view go back. In a system in which the other nodes
// have started for the first time, none need go back further than their start. An endpoint that states no
// release may be of any.
func soleRelease(own View, others []View, window time.Duration, complete bool) (release string, ok bool) {
	started := others
	if len(others) == 0 {
		started = []View{own}
	}
	newSystem := !slices.ContainsFunc(started, func(v View) bool { return !v.FirstStart })
	certain, allGoBack := false, true
	for _, v := range append([]View{own}, others...) {
		for _, r := range v.Releases {
			if r == "" || release != "" && r != release {
				return "", false
			}
			release = r
		}
		goesBack := v.ObservedMS >= window.Milliseconds() || v.Recorded || v.FirstStart && newSystem
		certain = certain || goesBack && v.isCurrent()
		allGoBack = allGoBack && goesBack
	}
	if release == "" || !certain && !(complete && allGoBack) {
		return "", false
	}
	return release, true
}

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

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
	// appeared receives a value when an endpoint of a release is listed that had none.
	appeared chan struct{}

	mu         sync.Mutex
	byEndpoint map[string]Origin
	listed     map[Origin]int       // number of endpoints
	seenUntil  map[Origin]time.Time // when the last endpoint of a release was removed
	// since is the time since when the registry has been followed without a gap, and confirmedAt a time at
	// which this node's copy was certainly current. Both are zero before the first read.
	since, confirmedAt time.Time
	// keep is the longest time for which anything was asked: what was seen within it is not forgotten.
	keep time.Duration
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{
		appeared:   make(chan struct{}, 1),
		byEndpoint: make(map[string]Origin), listed: make(map[Origin]int), seenUntil: make(map[Origin]time.Time),
	}
}

// RecordRead records a read of the registry. gap is the time since the previous confirmation.
func (o *Observer) RecordRead(confirmedAt time.Time, gap time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || gap > maxObservationGap {
		o.since = now
	}
	o.confirmedAt = confirmedAt
}

// Set records the service and release of an endpoint.
func (o *Observer) Set(endpoint string, of Origin, now time.Time) {
	of = recordableRelease(of)
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, listed := o.byEndpoint[endpoint]; listed && known == of {
		return
	}
	o.remove(endpoint, now)
	o.byEndpoint[endpoint] = of
	o.listed[of]++
	if o.listed[of] == 1 {
		o.announce()
	}
}

// recordableRelease returns an origin whose release can be recorded: one with too long a name counts as not stated.
func recordableRelease(of Origin) Origin {
	if len(of.Release) > maxNameBytes {
		of.Release = ""
	}
	return of
}

// announce reports that a release has appeared, unless that is reported already.
func (o *Observer) announce() {
	select {
	case o.appeared <- struct{}{}:
	default:
	}
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

// lastConfirmed returns a time at which this node's copy of the registry was certainly current, zero before the
// first read.
func (o *Observer) lastConfirmed() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmedAt
}

// listedReleases returns the releases of a service that have an endpoint, sorted.
func (o *Observer) listedReleases(service string) (list []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for of := range o.listed {
		if of.Service == service {
			list = append(list, of.Release)
		}
	}
	slices.Sort(list)
	return list
}

// seenReleases returns the releases of a service of which an endpoint was listed within the given time, sorted. It
// forgets those that were listed before only.
func (o *Observer) seenReleases(service string, within time.Duration, now time.Time) []string {
	list := o.listedReleases(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keep = max(o.keep, within+removeDelay)
	for of, until := range o.seenUntil {
		switch {
		case now.Sub(until) > o.keep:
			delete(o.seenUntil, of)
		case now.Sub(until) > within:
		case of.Service == service && o.listed[of] == 0:
			list = append(list, of.Release)
		}
	}
	slices.Sort(list)
	return list
}

// absentFor reports whether no endpoint of a release was listed for the given time, by a copy of the registry that is
// current and has been followed for as long without a gap.
func (o *Observer) absentFor(of Origin, d time.Duration, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keep = max(o.keep, d)
	if now.Sub(o.confirmedAt) > maxObservationGap || o.since.IsZero() || now.Sub(o.since) < d {
		return false
	}
	until, seen := o.seenUntil[of]
	return o.listed[of] == 0 && (!seen || now.Sub(until) >= d)
}

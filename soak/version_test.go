package soak

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	sampleInterval = 100 * time.Millisecond
	// endFactor times the bound on replaced weights is the stable time after which servers must have the
	// newest weights when the traffic ends.
	endFactor = 1.5
	// minStretch is the length from which a stable stretch counts towards the bound on all servers.
	minStretch = 2 * time.Second
	// Old servers violate a bound if there are more than maxOld, and over one in oldShare of all.
	maxOld   = 1
	oldShare = 10
)

// serverState is the state of a model server at a time.
type serverState struct {
	id      string
	version int64
	started time.Time
	leaves  bool // it is removed, draining or down
}

// sample is the state of the model servers at a time.
type sample struct {
	at      time.Time
	servers []serverState
}

// sampleServers records the states of the model servers until ctx is done, and once more then.
func (w *world) sampleServers(ctx context.Context) {
	for ctx.Err() == nil {
		w.samples = append(w.samples, w.serverStates())
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
	w.samples = append(w.samples, w.serverStates())
}

func (w *world) serverStates() sample {
	now := sample{at: time.Now()}
	for i, s := range w.site.Models {
		leaves := !w.site.IsRunning(i) || !w.removed[i].noneWithin(now.at, now.at) || !w.draining[i].noneWithin(now.at, now.at)
		now.servers = append(now.servers, serverState{s.ID(), s.Version(), time.UnixMilli(s.StartedMs()), leaves})
	}
	return now
}

// stableStretches returns the stretches in which the metadata store was stable and no link was disturbed, from the
// first sample to the last.
func (w *world) stableStretches() []span {
	blocked := w.storeDisturbances.extended(w.bounds.StableWindow)
	for _, p := range w.proxies {
		blocked = append(blocked, p.disturbances.extended(0)...)
	}
	return gaps(blocked, w.samples[0].at, w.samples[len(w.samples)-1].at)
}

// outdated returns the servers of a sample that have older weights than were named, after stable stretches of
// bound in all since the first newer version was named and since their start, and the number of servers that
// count. Stretches shorter than shortest don't count.
func (w *world) outdated(now *sample, stretches []span, bound, shortest time.Duration) (old []string, of int) {
	for _, s := range now.servers {
		if s.leaves {
			continue
		}
		of++
		newer := slices.IndexFunc(w.versions, func(v targetVersion) bool { return v.version > s.version && !v.at.After(now.at) })
		if newer < 0 {
			continue
		}
		since := w.versions[newer].at
		if s.started.After(since) {
			since = s.started
		}
		if total(stretches, since, now.at, shortest) >= bound {
			old = append(old, s.id)
		}
	}
	return old, of
}

func tooManyOld(old []string, of int) bool { return len(old) > maxOld && oldShare*len(old) > of }

// endBound is the stable time after which servers must have the newest weights when the traffic ends.
func (w *world) endBound() time.Duration { return time.Duration(endFactor * float64(w.bounds.Version)) }

// leftOld returns a violation if too many servers have older weights when the traffic ends.
func (w *world) leftOld() []string {
	if len(w.samples) == 0 {
		return nil
	}
	last := &w.samples[len(w.samples)-1]
	old, of := w.outdated(last, w.stableStretches(), w.endBound(), 0)
	if !tooManyOld(old, of) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d servers have older weights at the end, after stable stretches of %v in all: %v", len(old), of, w.endBound(), old)}
}

// oldTooLong returns the first time at which too many servers had older weights after stable stretches of the
// bound on all servers.
func (w *world) oldTooLong() []string {
	if len(w.samples) == 0 || w.bounds.VersionAll == 0 {
		return nil
	}
	stretches := w.stableStretches()
	for i := range w.samples {
		now := &w.samples[i]
		if old, of := w.outdated(now, stretches, w.bounds.VersionAll, minStretch); tooManyOld(old, of) {
			return []string{fmt.Sprintf("%d of %d servers have older weights at %v, after stable stretches of %v or more that are %v in all: %v", len(old), of, now.at.Format(time.StampMilli), minStretch, w.bounds.VersionAll, old)}
		}
	}
	return nil
}

// versionSummary states how many servers have older weights at the end, and whether the end was judged.
func (w *world) versionSummary() string {
	if len(w.samples) == 0 || len(w.versions) == 0 {
		return "no weights were named"
	}
	last := &w.samples[len(w.samples)-1]
	stretches := w.stableStretches()
	old, of := w.outdated(last, stretches, 0, 0)
	stable := total(stretches, w.versions[len(w.versions)-1].at, last.at, 0)
	judged := "judged"
	if stable < w.endBound() {
		judged = "not judged for the latest version"
	}
	return fmt.Sprintf("%d of %d servers have older weights at the end (%s: stable for %v since it was named, bound %v)", len(old), of, judged, stable.Round(time.Millisecond), w.endBound())
}

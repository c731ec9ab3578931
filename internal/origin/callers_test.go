package origin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// beginDelays are the times from when a node sends a request to an endpoint until its first event, in turn.
var beginDelays = []time.Duration{0, 130 * time.Millisecond, 0, 270 * time.Millisecond, 3 * time.Second, 8 * time.Second}

// stream is a stream that has begun.
type stream struct {
	key     Key
	release string
	at      time.Time // of the first event
}

// callers begin and resume streams at all nodes.
type callers struct {
	streamsMu sync.Mutex
	// servesUntil is when the last endpoint of a release ends, none while one is to stay.
	servesUntil map[string]time.Time
	streams     []stream // those that may be resumed
	begun       int
	resumed     map[Source]int
	violations  []string
	startedAt   time.Time
	restoredAt  time.Time
	eventAt     atomic.Int64 // time of the latest event, Unix time in ns
}

// traffic begins and resumes streams at all nodes until the system ends.
func (s *faultySystem) traffic() {
	for turn := 0; sleepFor(s.ctx, s.trafficInterval()); turn++ {
		for i, l := range s.alive() {
			s.tasks.Go(func() { s.begin(l, beginDelays[(turn+i)%len(beginDelays)]) })
			s.tasks.Go(func() { s.resume(l, turn+i) })
		}
	}
}

// trafficInterval returns the time until the next streams begin and are resumed.
func (s *faultySystem) trafficInterval() time.Duration {
	if time.Now().UnixNano()-s.eventAt.Load() > int64(busyTime) {
		return calmInterval
	}
	return busyInterval
}

// begin sends new streams to the releases that a node lists and that may begin some. Their first events come after the
// given time, if the node and the endpoints are still there.
func (s *faultySystem) begin(l *life, after time.Duration) {
	l.awaitThaw()
	releases := slices.DeleteFunc(l.observer.listedReleases(service), func(release string) bool { return !l.gate.MayBegin(service, release) })
	if !sleepFor(l.ctx, after) {
		return
	}
	l.awaitThaw()
	for _, release := range releases {
		if k, ok := s.firstEvent(release); ok && l.ctx.Err() == nil {
			l.Record(k, Origin{service, release})
		}
	}
	s.checkRecorded()
}

// firstEvent has an endpoint of a release begin a stream, if one still serves.
func (s *faultySystem) firstEvent(release string) (k Key, serves bool) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	now := time.Now()
	if until, leaves := s.servesUntil[release]; leaves && now.After(until) {
		return Key{}, false
	}
	s.begun++
	k = keyNumber(s.begun)
	s.streams = append(slices.DeleteFunc(s.streams, func(b stream) bool { return now.Sub(b.at) > s.retention }), stream{k, release, now})
	return k, true
}

// resumable returns the streams that may be resumed now.
func (s *faultySystem) resumable() []stream {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(s.streams), func(b stream) bool { return now.Sub(b.at) > s.retention })
}

// resume has a caller who doesn't name its request, and some who do, resume their streams at a node.
func (s *faultySystem) resume(l *life, turn int) {
	streams := s.resumable()
	l.awaitThaw()
	s.check(l, l.Find(l.ctx, Key{}, service), streams...)
	if len(streams) > 0 {
		for _, b := range []stream{streams[len(streams)-1], streams[turn%len(streams)], streams[0]} {
			s.check(l, l.Find(l.ctx, b.key, service), b)
		}
	}
}

// check records a violation if a node resumes one of the given streams at a release that didn't begin it.
func (s *faultySystem) check(l *life, r Result, streams ...stream) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.resumed[r.Source]++
	if r.Source == NotFound || l.ctx.Err() != nil {
		return
	}
	for _, b := range streams {
		if r.Release != b.release {
			s.violations = append(s.violations, fmt.Sprintf("%v: %s resumes a stream of %s, begun %v ago, at %s (%v)",
				time.Since(s.startedAt), l.peer.Name, b.release, time.Since(b.at), r.Release, r.Source))
			return
		}
	}
}

// checkRecorded records a violation if the store lacks the record of a release whose streams may be resumed, unless it
// came back from an older copy a while ago.
func (s *faultySystem) checkRecorded() {
	streams, recorded := s.resumable(), s.store.recordedReleases()
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	if !s.restoredAt.IsZero() && time.Since(s.restoredAt) <= s.retention+removeDelay {
		return
	}
	for _, b := range streams {
		if !slices.Contains(recorded, releaseKey(Origin{service, b.release})) {
			s.violations = append(s.violations, fmt.Sprintf("%v: the store has no record of %s, at which a stream began %v ago", time.Since(s.startedAt), b.release, time.Since(b.at)))
			return
		}
	}
}

// checkSole records a violation if a node doesn't resume a stream that has no record at a release.
func (s *faultySystem) checkSole(release string) {
	for _, l := range s.alive() {
		if r := l.Find(context.Background(), Key{}, service); r.Release != release {
			s.violations = append(s.violations, fmt.Sprintf("%s refuses streams that have no record, though %s has served alone (%v)", l.peer.Name, release, r.Err))
		}
	}
}

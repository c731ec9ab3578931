package brittle

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reportLifetime is how long after the last report the endpoints of a service count as brittle. All their
	// answers state it, and endpoints that failed send none for some seconds.
	reportLifetime = 10 * time.Second
	// toldFor is how long a node tells others of a report that it received from an endpoint. Nodes that use
	// the service receive it again with each answer.
	toldFor = 3 * time.Second
)

// Report is what the endpoints of a service state.
type Report struct {
	Service  string
	Refusals int // refusals per second that each of them bears
	Age      time.Duration
}

// Reports holds the reports of services. The zero value holds none. It is safe for concurrent use, and reading
// it takes no lock.
type Reports struct {
	mu        sync.Mutex // held by writers
	byService atomic.Pointer[map[string]report]
}

// report is the state of one service.
type report struct {
	refusals int       // the lowest number reported within reportLifetime
	lowestAt time.Time // when it was last reported
	at       time.Time // of the last report
	told     told      // what this node tells others
}

// told is the lowest number that endpoints reported to this node within toldFor, and when it was last
// reported; the zero value if there is none.
type told struct {
	refusals int
	at       time.Time
}

// Record records that an endpoint of a service has stated that it bears the given refusals per second. direct
// is true if it stated so to this node. Of different numbers the lowest counts. It reports whether the number
// in force changed.
func (r *Reports) Record(service string, refusals int, at time.Time, direct bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.load()[service]
	known = known && at.Sub(s.at) <= reportLifetime
	before := s.refusals
	if !known || refusals <= s.refusals || at.Sub(s.lowestAt) > reportLifetime {
		s.refusals, s.lowestAt = refusals, at
	}
	if at.After(s.at) {
		s.at = at
	}
	if direct && (refusals <= s.told.refusals || at.Sub(s.told.at) > toldFor) {
		s.told = told{refusals, at}
	}
	next := maps.Clone(r.load())
	if next == nil {
		next = make(map[string]report)
	}
	next[service] = s
	r.byService.Store(&next)
	return !known || before != s.refusals
}

func (r *Reports) load() map[string]report {
	if all := r.byService.Load(); all != nil {
		return *all
	}
	return nil
}

// Refusals returns the refusals per second that the endpoints of a service bear, or false if they are not known
// to be brittle.
func (r *Reports) Refusals(service string, now time.Time) (refusals int, isBrittle bool) {
	s, known := r.load()[service]
	if !known || now.Sub(s.at) > reportLifetime {
		return 0, false
	}
	return s.refusals, true
}

// Told returns the reports that this node tells others of. Numbers that it heard from others are left out:
// nodes could otherwise keep one alive that no endpoint reports any more.
func (r *Reports) Told(now time.Time) []Report {
	var list []Report
	for service, s := range r.load() {
		if age := now.Sub(s.told.at); age <= toldFor {
			list = append(list, Report{Service: service, Refusals: s.told.refusals, Age: age})
		}
	}
	return list
}

// Count returns the number of services whose endpoints are brittle.
func (r *Reports) Count(now time.Time) int {
	count := 0
	for service := range r.load() {
		if _, isBrittle := r.Refusals(service, now); isBrittle {
			count++
		}
	}
	return count
}

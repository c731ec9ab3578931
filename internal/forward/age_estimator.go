package forward

import (
	"slices"
	"sync"
	"time"
)

const (
	// deadlineRetention is the time after which all recorded deadlines of a route are discarded if
	// none has reached the longest one since, as the route's callers may have changed.
	deadlineRetention = 30 * time.Second
	// maxRecentSamples is the number of recent deadlines kept for each route.
	maxRecentSamples = 41
)

// AgeEstimator estimates from a caller's deadline how long ago it first tried. A caller that retries
// after a refusal states the time that it has left, so the difference from the usual initial
// deadline of the route is its age. Initial deadlines may differ between callers; as long as most
// callers are on their first try, the difference between the longest deadline and the median shows
// by how much. The zero value is ready for use and safe for concurrent use.
type AgeEstimator struct {
	mu      sync.Mutex
	byRoute map[string]*routeDeadlines
}

// routeDeadlines holds the recent deadlines of one route's callers.
type routeDeadlines struct {
	longest   time.Duration
	longestAt time.Time // when longest was recorded
	recent    [maxRecentSamples]time.Duration
	count     int // deadlines recorded so far
}

// Age estimates the time since a caller first tried, rather too low than too high, given the time
// left until its deadline. It returns 0 if the caller states no deadline, or one no shorter than
// those of first tries.
func (e *AgeEstimator) Age(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byRoute == nil {
		e.byRoute = make(map[string]*routeDeadlines)
	}
	deadlines := e.byRoute[route]
	if deadlines == nil {
		deadlines = &routeDeadlines{}
		e.byRoute[route] = deadlines
	}
	return deadlines.record(left, now)
}

// record records the time left until a caller's deadline and returns the caller's age.
func (d *routeDeadlines) record(left time.Duration, now time.Time) time.Duration {
	switch {
	case now.Sub(d.longestAt) > deadlineRetention:
		*d = routeDeadlines{longest: left, longestAt: now}
	case left >= d.longest:
		d.longest, d.longestAt = left, now
	}
	minInitial := d.minInitial()
	d.recent[d.count%maxRecentSamples] = left
	d.count++
	return max(minInitial-left, 0)
}

// minInitial estimates the shortest initial deadline. If initial deadlines are spread evenly
// between two bounds, the median is half way between them; if all are equal, it is the longest.
func (d *routeDeadlines) minInitial() time.Duration {
	if d.count == 0 {
		return d.longest
	}
	var buf [maxRecentSamples]time.Duration
	sorted := buf[:copy(buf[:], d.recent[:min(d.count, maxRecentSamples)])]
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	return d.longest - 2*(d.longest-median)
}

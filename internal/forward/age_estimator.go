package forward

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxLongestAge is the time after which a route's longest deadline is discarded, since its
	// callers may have changed.
	maxLongestAge = 30 * time.Second
	// maxRecentSamples is the number of recent deadlines kept for each route.
	maxRecentSamples = 41
)

// AgeEstimator estimates from a caller's deadline how long ago it first tried. A caller that retries
// after a refusal states the time that it has left, so the difference from the usual initial
// deadline of the route is its age. Initial deadlines may differ between callers; as long as most
// callers are on their first try, the median tells by how much. The zero value is ready for use and
// safe for concurrent use.
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

// Age returns a lower bound for the time since a caller first tried, given the time left until its
// deadline. It returns 0 if the caller states no deadline, or one no shorter than those of first
// tries.
func (p *AgeEstimator) Age(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRoute == nil {
		p.byRoute = make(map[string]*routeDeadlines)
	}
	known := p.byRoute[route]
	if known == nil {
		known = &routeDeadlines{}
		p.byRoute[route] = known
	}
	return known.record(left, now)
}

// record records the time left until a caller's deadline and returns the caller's age.
func (g *routeDeadlines) record(left time.Duration, now time.Time) time.Duration {
	switch {
	case now.Sub(g.longestAt) > maxLongestAge:
		*g = routeDeadlines{longest: left, longestAt: now}
	case left >= g.longest:
		g.longest, g.longestAt = left, now
	}
	minInitial := g.minInitial()
	g.recent[g.count%maxRecentSamples] = left
	g.count++
	return max(minInitial-left, 0)
}

// minInitial estimates the shortest initial deadline. If initial deadlines are spread evenly
// between two bounds, the median is half way between them; if all are equal, it is the longest.
func (g *routeDeadlines) minInitial() time.Duration {
	if g.count == 0 {
		return g.longest
	}
	var buf [maxRecentSamples]time.Duration
	sorted := buf[:copy(buf[:], g.recent[:min(g.count, maxRecentSamples)])]
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	return g.longest - 2*(g.longest-median)
}

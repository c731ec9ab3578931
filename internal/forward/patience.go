package forward

import (
	"slices"
	"sync"
	"time"
)

const (
	// patienceFade is the time after which the longest time that a route's callers give counts
	// no more: callers may have changed.
	patienceFade = 30 * time.Second
	// patienceSamples is how many callers of a route are looked back on.
	patienceSamples = 41
)

// Patience knows how much time the callers of each route give. A caller that comes back after a
// refusal gives what is left of it, which tells how long ago it first tried. Callers may also differ in
// the time that they give at first: as long as most of them are there for the first time, the middle
// one tells by how much. Its zero value is ready for use, by several goroutines at once.
type Patience struct {
	mu      sync.Mutex
	byRoute map[string]*given
}

// given is the time that a route's callers gave lately.
type given struct {
	longest time.Duration
	at      time.Time // of the longest
	recent  [patienceSamples]time.Duration
	n       int // times ever noted
}

// Age returns how long ago a caller that gives so much time first tried, at least; 0 where it states
// no time, or gives no less than callers that are there for the first time do.
func (p *Patience) Age(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRoute == nil {
		p.byRoute = make(map[string]*given)
	}
	known := p.byRoute[route]
	if known == nil {
		known = &given{}
		p.byRoute[route] = known
	}
	return known.note(left, now)
}

// note takes the time that a caller gives, and returns its age.
func (g *given) note(left time.Duration, now time.Time) time.Duration {
	switch {
	case now.Sub(g.at) > patienceFade:
		*g = given{longest: left, at: now}
	case left >= g.longest:
		g.longest, g.at = left, now
	}
	least := g.least()
	g.recent[g.n%patienceSamples] = left
	g.n++
	return max(least-left, 0)
}

// least returns the shortest time that callers give at first. Where they give times spread evenly
// between two, the middle one is half way between them; where all give the same, it is the longest.
func (g *given) least() time.Duration {
	if g.n == 0 {
		return g.longest
	}
	var buf [patienceSamples]time.Duration
	sorted := buf[:copy(buf[:], g.recent[:min(g.n, patienceSamples)])]
	slices.Sort(sorted)
	middle := sorted[len(sorted)/2]
	return g.longest - 2*(g.longest-middle)
}

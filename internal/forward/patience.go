package forward

import (
	"sync"
	"time"
)

// patienceFade is the time after which the longest time that a route's callers give counts
// no more: callers may have changed.
const patienceFade = 30 * time.Second

// Patience knows the longest time that the callers of each route give. A caller that comes
// back after a refusal gives what is left of it, which tells how long ago it first tried. Its
// zero value is ready for use, by several goroutines at once.
type Patience struct {
	mu      sync.Mutex
	byRoute map[string]longest
}

// longest is the longest time that was given lately.
type longest struct {
	given time.Duration
	at    time.Time
}

// Age returns how long ago a caller that gives so much time first tried; 0 where it states no
// time, or nothing is known.
func (p *Patience) Age(route string, given time.Duration, now time.Time) time.Duration {
	if given <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRoute == nil {
		p.byRoute = make(map[string]longest)
	}
	known := p.byRoute[route]
	if given >= known.given || now.Sub(known.at) > patienceFade {
		p.byRoute[route] = longest{given: given, at: now}
		return 0
	}
	return known.given - given
}

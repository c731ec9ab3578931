package brittle

import (
	"sync"
	"time"
)

// maxBlocked is the number of endpoints at which those that are no longer blocked are removed before another one
// is added.
const maxBlocked = 1024

// Blocked holds the endpoints that this node must not ask for slots of. The zero value holds none. It is safe for
// concurrent use.
type Blocked struct {
	mu    sync.Mutex
	until map[start]time.Time
}

// Until blocks a start of an endpoint, unless it is blocked for longer already.
func (b *Blocked) Until(endpoint string, startedMs int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[start]time.Time)
	}
	if len(b.until) >= maxBlocked {
		for s, until := range b.until {
			if until.Before(at) {
				delete(b.until, s)
			}
		}
	}
	s := start{endpoint, startedMs}
	if at.After(b.until[s]) {
		b.until[s] = at
	}
}

// For returns how long a start of an endpoint remains blocked, 0 if it isn't.
func (b *Blocked) For(endpoint string, startedMs int64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until[start{endpoint, startedMs}].Sub(now), 0)
}

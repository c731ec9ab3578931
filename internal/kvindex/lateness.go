package kvindex

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

const (
	// latenessWeight is the weight of the newest fetch. In a large system a node observes one fetch
	// from a store every few seconds.
	latenessWeight = 0.4
	// latenessHalfLife is the half-life of the lateness without new fetches. Slow stores are
	// avoided and get no fetches, so their value must decay for them to be used again.
	latenessHalfLife = 2 * time.Second
)

// Lateness is a decaying average of how much later than expected fetches completed. The zero value
// has no observations. It is safe for concurrent use.
type Lateness struct {
	mu sync.Mutex
	ms decay.Average
}

// Observe adds an observation in ms later than expected. Negative values count as zero.
func (l *Lateness) Observe(ms float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ms.Add(max(ms, 0), latenessWeight, latenessHalfLife, now)
}

// MS returns the average lateness in ms.
func (l *Lateness) MS(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ms.At(latenessHalfLife, now)
}

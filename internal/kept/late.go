package kept

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

const (
	// lateWeight is the weight of the newest fetch: a node sees one from a store every
	// few seconds in a large system.
	lateWeight = 0.4
	// lateHalfLife is the time in which a lateness falls to half without any fetch: a
	// store that is avoided has none, and may be quick again.
	lateHalfLife = 2 * time.Second
)

// Lateness is how much later first events come than expected, lately. Its zero value is
// that of a holder nothing is known of. It is safe for concurrent use.
type Lateness struct {
	mu sync.Mutex
	ms decay.Average
}

// Note takes one answer that came so many ms later than expected; fewer than none counts
// as none.
func (l *Lateness) Note(ms float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ms.Note(max(ms, 0), lateWeight, lateHalfLife, now)
}

// MS returns the lateness in ms.
func (l *Lateness) MS(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ms.At(lateHalfLife, now)
}

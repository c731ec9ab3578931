package kept

import (
	"context"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
)

const (
	// lapsePause is the time between two looks for stores of which other nodes have fallen silent,
	// where none is known to lapse sooner.
	lapsePause = relayedFor
	// lapseLeast is the shortest time between two looks.
	lapseLeast = 50 * time.Millisecond
)

// lapses wakes the followers of stores of which other nodes have fallen silent.
//
// It spares wake-ups, which a timer for each store's follower would make a large part of what a node
// at rest does.
type lapses struct {
	clock   *clock.Clock // nil is the steady clock
	mu      sync.Mutex
	waiting map[*Holder]chan struct{}
}

func newLapses() *lapses {
	return &lapses{waiting: make(map[*Holder]chan struct{})}
}

// wait returns when no other node's word stands for the holder any more, or ctx is done.
func (l *lapses) wait(ctx context.Context, h *Holder) {
	lapsed := make(chan struct{})
	l.mu.Lock()
	l.waiting[h] = lapsed
	l.mu.Unlock()
	select {
	case <-lapsed:
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, h)
		l.mu.Unlock()
	}
}

// run wakes followers until ctx is done.
func (l *lapses) run(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, l.wake(l.clock.Now()))
	}
}

// wake wakes the followers whose holders' word has lapsed, and returns the time until the next look.
func (l *lapses) wake(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := lapsePause
	for h, lapsed := range l.waiting {
		left := h.relayedFor(now)
		if left > 0 {
			next = min(next, left)
			continue
		}
		close(lapsed)
		delete(l.waiting, h)
	}
	return max(next, lapseLeast)
}

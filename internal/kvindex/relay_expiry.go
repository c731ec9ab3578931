package kvindex

import (
	"context"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
)

const (
	// maxScanInterval is the time between two scans for stores whose relayed updates have expired,
	// if none is due to expire sooner.
	maxScanInterval = relayLifetime
	// minScanInterval is the minimum time between two scans.
	minScanInterval = 50 * time.Millisecond
)

// relayExpiryWatcher wakes the followers of stores whose relayed updates have expired.
//
// One scan serves all stores: a timer for each store's follower would cause a large share of an
// idle node's wake-ups.
type relayExpiryWatcher struct {
	clock   *clock.Clock // nil is the monotonic clock
	mu      sync.Mutex
	waiting map[*Holder]chan struct{}
}

func newRelayExpiryWatcher() *relayExpiryWatcher {
	return &relayExpiryWatcher{waiting: make(map[*Holder]chan struct{})}
}

// wait returns when the holder's relayed updates have expired or ctx is done.
func (l *relayExpiryWatcher) wait(ctx context.Context, h *Holder) {
	expired := make(chan struct{})
	l.mu.Lock()
	l.waiting[h] = expired
	l.mu.Unlock()
	select {
	case <-expired:
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, h)
		l.mu.Unlock()
	}
}

// run wakes followers until ctx is done.
func (l *relayExpiryWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, l.wake(l.clock.Now()))
	}
}

// wake wakes the followers of holders whose relayed updates have expired, and returns the time
// until the next scan.
func (l *relayExpiryWatcher) wake(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maxScanInterval
	for h, expired := range l.waiting {
		left := h.relayRemaining(now)
		if left > 0 {
			next = min(next, left)
			continue
		}
		close(expired)
		delete(l.waiting, h)
	}
	return max(next, minScanInterval)
}

package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

// Pacer limits the rate at which long answers that state no length are handed on, over all requests of a node: nothing
// tells them from bytes that never end, and copying these at the speed of the network would take the processor of all
// other requests. A nil *Pacer sets no limit. It is safe for concurrent use.
type Pacer struct {
	rate float64 // bytes per second

	mu   sync.Mutex
	free time.Time // when the bytes handed on so far are within the rate
}

// NewPacer returns a Pacer for the given rate in bytes per second.
func NewPacer(rate float64) *Pacer { return &Pacer{rate: rate} }

// await waits until n bytes that were just handed on are within the rate, or until ctx is done.
func (p *Pacer) await(ctx context.Context, n int64) {
	if p != nil {
		retry.Sleep(ctx, p.delay(n, time.Now()))
	}
}

// delay returns the time until n more bytes are within the rate.
func (p *Pacer) delay(n int64, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	return p.free.Sub(now)
}

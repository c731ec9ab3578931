package claim

import (
	"context"
	"time"
)

// Record is the content of the log at one offset.
type Record struct {
	Offset int64
	Data   []byte
}

// Log is one stream of an append-only log, used only for claims. The offsets of its records are
// contiguous. A log that loses its newest records, because it was restored from an older copy, begins a
// new generation: all retained records get new offsets, which are higher than all before. Config.Generation
// then tells the generations apart.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may still have
	// been added, or may be added later.
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns, in order, up to limit records starting at offset from, or at the oldest
	// retained record if that is later, and the offset to read from next. Recent appends may be
	// missing from the result.
	Read(ctx context.Context, from int64, limit int) (records []Record, next int64, err error)
}

// Clock is a monotonic clock. Its readings are never compared with those of another clock.
type Clock interface {
	// Now returns the time since a fixed instant.
	Now() time.Duration
	// Sleep returns after d, or with the error of ctx if ctx ends first.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the process's monotonic clock.
type SystemClock struct{ origin time.Time }

var _ Clock = (*SystemClock)(nil)

// NewSystemClock returns a clock that reads zero at the time of the call.
func NewSystemClock() *SystemClock { return &SystemClock{origin: time.Now()} }

// Now returns the time since the clock was created.
func (c *SystemClock) Now() time.Duration { return time.Since(c.origin) }

// Sleep returns after d, or with the error of ctx if ctx ends first.
func (c *SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

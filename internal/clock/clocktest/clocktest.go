// Package clocktest makes clocks of hosts that tests suspend.
package clocktest

import (
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/clock"
)

// Host is a host that tests suspend.
type Host struct {
	*clock.Clock
	suspended atomic.Int64
}

// New returns a host that was never suspended.
func New() *Host {
	h := &Host{}
	h.Clock = clock.New(func(time.Time) time.Duration { return time.Duration(h.suspended.Load()) })
	return h
}

// Suspend has the host have been suspended for d: its clock jumps, and its timers don't.
func (h *Host) Suspend(d time.Duration) { h.suspended.Add(int64(d)) }

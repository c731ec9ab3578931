// Package clocktest provides clocks of simulated hosts that tests can suspend.
package clocktest

import (
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/clock"
)

// Host is a simulated host with its clock.
type Host struct {
	*clock.Clock
	suspended atomic.Int64
}

// New returns a host that has never been suspended.
func New() *Host {
	h := &Host{}
	h.Clock = clock.New(func(time.Time) time.Duration { return time.Duration(h.suspended.Load()) })
	return h
}

// Suspend simulates a suspension of the host for d: its clock advances by d, its timers do not.
func (h *Host) Suspend(d time.Duration) { h.suspended.Add(int64(d)) }

package claim

import (
	"errors"
	"fmt"
	"time"
)

// Config sets up a Claimer. All fields but Grace are required.
type Config struct {
	Log    Log
	Clock  Clock
	Holder string // names this process in the log, for operators
	// OrderTimeout bounds one order. A claim gives no order that could not end
	// before it.
	OrderTimeout time.Duration
	// Grace is waited for after a claim that ran out without a release. For
	// endpoints that ignore tokens it is at least the longest time in which an
	// order sent can still take effect.
	Grace time.Duration
	// MaxTTL bounds each claim, and must be the same for all that use a log: records that ask
	// for more are another writer's, would block a resource for as long, and are ignored. The
	// log must retain records many times longer.
	MaxTTL time.Duration
	// Poll is the time between reads while waiting for a claim.
	Poll time.Duration
	// Random returns a number in [0, n), such as math/rand/v2.Int64N. It spreads
	// the appends of contenders over Poll, and over slots.
	Random func(n int64) int64
}

func (c Config) validate() error {
	switch {
	case c.Log == nil || c.Clock == nil || c.Random == nil:
		return errors.New("claim: log, clock and random are required")
	case c.OrderTimeout <= 0 || c.Poll <= 0 || c.Grace < 0:
		return errors.New("claim: a time is not positive")
	case c.MaxTTL <= c.OrderTimeout || c.MaxTTL > TTLLimit:
		return fmt.Errorf("claim: MaxTTL is not within OrderTimeout to %v", TTLLimit)
	}
	return nil
}

// TTLLimit bounds MaxTTL.
const TTLLimit = 24 * time.Hour

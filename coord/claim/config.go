package claim

import (
	"errors"
	"fmt"
	"time"
)

// Config configures a Claimer. All fields but Holder and Grace are required.
type Config struct {
	Log    Log
	Clock  Clock
	Holder string // identifies this process in the log, for operators
	// OrderTimeout limits the duration of one order. An order may start only while the claim
	// remains in effect for longer than this.
	OrderTimeout time.Duration
	// Grace is the additional time that contenders wait after a claim expired without a
	// release. For endpoints that ignore tokens it must be at least the longest time in which
	// an order that was sent can still take effect.
	Grace time.Duration
	// MaxTTL limits the duration of each claim. It must be the same for all processes that use
	// a log: records with a longer TTL are ignored, since they come from a writer with another
	// configuration and would block the resource for too long. The log must retain records many times longer than MaxTTL.
	MaxTTL time.Duration
	// Generation returns the generation of the log that an offset belongs to, for logs that may lose their
	// newest records and go on: see Log. Nil means that the log loses none.
	Generation func(offset int64) int64
	// LostTTL is the longest TTL of claims that a log may lose. After a change of the generation contenders
	// wait as if each resource had been claimed for this time.
	LostTTL time.Duration
	// Poll is the interval between log reads while waiting for a claim.
	Poll time.Duration
	// Random returns a number in [0, n), such as math/rand/v2.Int64N. It distributes the
	// appends of contenders over the poll interval and over the slots.
	Random func(n int64) int64
}

func (c Config) validate() error {
	switch {
	case c.Log == nil || c.Clock == nil || c.Random == nil:
		return errors.New("claim: config: Log, Clock and Random are required")
	case c.OrderTimeout <= 0 || c.Poll <= 0 || c.Grace < 0:
		return errors.New("claim: config: OrderTimeout and Poll must be positive, Grace must not be negative")
	case c.MaxTTL <= c.OrderTimeout || c.MaxTTL > TTLLimit:
		return fmt.Errorf("claim: config: MaxTTL must be greater than OrderTimeout and at most %v", TTLLimit)
	}
	return nil
}

// TTLLimit is the largest allowed Config.MaxTTL.
const TTLLimit = 24 * time.Hour

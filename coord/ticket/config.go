package ticket

import (
	"errors"
	"fmt"
	"time"
)

// MaxWindow is the maximum of Config.Window.
const MaxWindow = 1 << 20

// Config configures an Executor. Self, Key, Window and KeepAnswers are required;
// the other fields may be zero.
type Config struct {
	Self Incarnation // of this process, from NewIncarnation
	Key  Key
	// Window is the number of newest serials per account whose outcome is
	// stored, in two bits each. Older tickets have expired.
	Window int
	// KeepAnswers is the maximum number of answers cached for each account,
	// KeepBytes the maximum size of all cached answers together, and KeepFor
	// how long each answer is cached.
	KeepAnswers int
	KeepBytes   int
	KeepFor     time.Duration
	// AdoptFor is how long the tickets of a handed-over incarnation remain
	// redeemable after its first handover.
	AdoptFor time.Duration
	// RunOn is how long a run may continue after the latest deadline of its
	// callers, so that a retry can still get the answer.
	RunOn time.Duration
}

func (c Config) validate() error {
	switch {
	case c.Self.Node == "" || len(c.Self.Node) > MaxNameBytes:
		return errors.New("ticket: node ID is empty or too long")
	case len(c.Key) < MinKeyBytes:
		return fmt.Errorf("ticket: key is shorter than %d bytes", MinKeyBytes)
	case c.Window < 1 || c.Window > MaxWindow:
		return fmt.Errorf("ticket: window is not between 1 and %d", MaxWindow)
	case c.KeepAnswers < 1 || c.KeepBytes < 0 || c.KeepFor < 0 || c.AdoptFor < 0 || c.RunOn < 0:
		return errors.New("ticket: a cache limit or duration is negative, or KeepAnswers is zero")
	}
	return nil
}

package ticket

import (
	"errors"
	"fmt"
	"time"
)

// MaxWindow bounds the serials that are remembered for an account.
const MaxWindow = 1 << 20

// Config sets up an Executor. All fields are required.
type Config struct {
	Self Incarnation // of this process, from NewIncarnation
	Key  Key
	// Window is the number of newest serials remembered for each account, two
	// bits each. Older tickets have expired.
	Window int
	// KeepAnswers bounds the answers kept for each account, KeepBytes those of
	// all accounts, KeepFor the time that each is kept.
	KeepAnswers int
	KeepBytes   int
	KeepFor     time.Duration
	// AdoptFor is how long the tickets of a handed-over incarnation stay
	// redeemable, counted from its first handover.
	AdoptFor time.Duration
	// RunOn is how long a run goes on after the last deadline of the callers that
	// waited for it, so that a repeat gets its answer.
	RunOn time.Duration
}

func (c Config) validate() error {
	switch {
	case c.Self.Node == "" || len(c.Self.Node) > MaxNameBytes:
		return errors.New("ticket: node id is empty or too long")
	case len(c.Key) < KeyBytes:
		return fmt.Errorf("ticket: key is shorter than %d bytes", KeyBytes)
	case c.Window < 1 || c.Window > MaxWindow:
		return fmt.Errorf("ticket: window is not within 1 to %d", MaxWindow)
	case c.KeepAnswers < 1 || c.KeepBytes < 0 || c.KeepFor < 0 || c.AdoptFor < 0 || c.RunOn < 0:
		return errors.New("ticket: a bound is negative, or KeepAnswers is zero")
	}
	return nil
}

package ticket

import (
	"errors"
	"fmt"
	"time"
)

// MaxWindow is the maximum of Config.Window.
const MaxWindow = 1 << 20

// Config configures an Executor. Self, Key, Window and MaxAnswersPerAccount are required;
// the other fields may be zero.
type Config struct {
	Self Incarnation // of this process, from NewIncarnation
	Key  Key
	// Window is the number of newest serials per account whose outcome is
	// stored, in two bits each. Older tickets have expired.
	Window int
	// MaxAnswersPerAccount is the maximum number of answers cached for each account,
	// MaxAnswerBytes the maximum size of all cached answers together, and AnswerTTL
	// how long each answer is cached.
	MaxAnswersPerAccount int
	MaxAnswerBytes       int
	AnswerTTL            time.Duration
	// AdoptedTTL is how long the tickets of a handed-over incarnation remain
	// redeemable after its first handover.
	AdoptedTTL time.Duration
	// RunAfterDeadline is how long a run may continue after the latest deadline of its
	// callers, so that a retry can still get the answer.
	RunAfterDeadline time.Duration
}

func (c Config) validate() error {
	switch {
	case c.Self.Node == "" || len(c.Self.Node) > MaxNameBytes:
		return errors.New("ticket: node ID is empty or too long")
	case len(c.Key) < MinKeyBytes:
		return fmt.Errorf("ticket: key is shorter than %d bytes", MinKeyBytes)
	case c.Window < 1 || c.Window > MaxWindow:
		return fmt.Errorf("ticket: window is not between 1 and %d", MaxWindow)
	case c.MaxAnswersPerAccount < 1 || c.MaxAnswerBytes < 0 || c.AnswerTTL < 0 || c.AdoptedTTL < 0 || c.RunAfterDeadline < 0:
		return errors.New("ticket: a cache limit or duration is negative, or MaxAnswersPerAccount is zero")
	}
	return nil
}

package weights

import (
	"time"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/clock"
)

// claimClock is the clock of claims: a host that was suspended holds its claim no longer than
// others wait for it.
type claimClock struct {
	*claim.SystemClock // sleeps
	clock              *clock.Clock
	start              time.Time
}

var _ claim.Clock = (*claimClock)(nil)

func newClaimClock(c *clock.Clock) *claimClock {
	return &claimClock{SystemClock: claim.NewSystemClock(), clock: c, start: c.Now()}
}

// Now implements claim.Clock.
func (c *claimClock) Now() time.Duration { return c.clock.Since(c.start) }

package weights

import (
	"time"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/clock"
)

// claimClock is the clock of claims. It includes the time during which the host was suspended, so that
// a claim does not last longer on this node than on others.
type claimClock struct {
	*claim.SystemClock // used for sleeping
	clock              *clock.Clock
	start              time.Time
}

var _ claim.Clock = (*claimClock)(nil)

func newClaimClock(c *clock.Clock) *claimClock {
	return &claimClock{SystemClock: claim.NewSystemClock(), clock: c, start: c.Now()}
}

// Now implements claim.Clock.
func (c *claimClock) Now() time.Duration { return c.clock.Since(c.start) }

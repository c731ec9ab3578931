package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

// suspendedLook is the time between two looks whether the host was suspended. They are for the log
// alone: what is decided reads the clock itself.
const suspendedLook = 200 * time.Millisecond

// watchSuspension logs each time for which the host was suspended, until ctx is done.
func (n *Node) watchSuspension(ctx context.Context) error {
	known := n.clock.Suspended()
	for ctx.Err() == nil {
		retry.Sleep(ctx, suspendedLook)
		now := n.clock.Suspended()
		if now == known {
			continue
		}
		_, age := n.state.Config()
		n.log.Warn().Str("event", "suspended").Dur("for_ms", now-known).Dur("in_all_ms", now).
			Int64("config_age_ms", age.Milliseconds()).Bool("ready", n.ready()).Send()
		known = now
	}
	return nil
}

package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

// suspensionCheckInterval is the time between two checks whether the host was suspended. They only
// serve the log: decisions read the clock itself.
const suspensionCheckInterval = 200 * time.Millisecond

// watchSuspension logs each suspension of the host, until ctx is done.
func (n *Node) watchSuspension(ctx context.Context) error {
	logged := n.clock.Suspended()
	for ctx.Err() == nil {
		retry.Sleep(ctx, suspensionCheckInterval)
		now := n.clock.Suspended()
		if now == logged {
			continue
		}
		_, age := n.state.Config()
		n.log.Warn().Str("event", "suspended").Dur("for_ms", now-logged).Dur("in_all_ms", now).
			Int64("config_age_ms", age.Milliseconds()).Bool("ready", n.ready()).Send()
		logged = now
	}
	return nil
}

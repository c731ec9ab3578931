package gateway

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/cherryward/cherryward/internal/bootstrap"
)

// reloadInterval is the time between two checks of the boot file, which may change without a
// signal.
const reloadInterval = 2 * time.Second

// BootSource provides the contents of the boot file as it changes.
type BootSource struct {
	// Load reads the boot file.
	Load func() (*bootstrap.Node, error)
	// Hangups delivers the process's SIGHUP signals, upon which the file is read at once. The node does not own
	// them: they must not end the process once the node has stopped reading. Nil means that there are none.
	Hangups <-chan os.Signal
}

// reload applies changes of the boot file until ctx is done: at once on SIGHUP, otherwise within
// reloadInterval. The listeners and the store's address are fixed at the start; a change of these is
// logged and requires a restart.
func (n *Node) reload(ctx context.Context, source BootSource) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-source.Hangups:
			n.log.Info().Str("event", "hangup").Send()
		case <-ticker.C:
		}
		n.applySettings(source.Load())
	}
}

// applySettings puts changed settings into effect. If the file could not be read, the present
// settings stay.
func (n *Node) applySettings(next *bootstrap.Node, err error) {
	if err != nil {
		n.log.Error().Str("event", "reload_failed").AnErr("error", err).Send()
		return
	}
	before := n.boot.Load()
	if reflect.DeepEqual(before, next) {
		return
	}
	n.boot.Store(next)
	restart := next.CallersAddr != before.CallersAddr || next.ReadyAddr != before.ReadyAddr || next.StoreAddr != before.StoreAddr
	n.log.Info().Str("event", "reload").Bool("restart_needed", restart).Send()
}

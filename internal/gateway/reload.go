package gateway

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/internal/bootstrap"
)

// reloadInterval is the time between two checks of the boot file, which may change without a
// signal.
const reloadInterval = 2 * time.Second

// reload applies changes of the boot file until ctx is done: at once on SIGHUP, otherwise within
// reloadPause. The listeners and the store's address are fixed at the start; a change of these is
// logged and requires a restart.
func (n *Node) reload(ctx context.Context, load func() (*bootstrap.Node, error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			n.log.Info().Str("event", "hangup").Send()
		case <-ticker.C:
		}
		n.applySettings(load())
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

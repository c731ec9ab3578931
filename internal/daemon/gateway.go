package daemon

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/platform"
)

// logBuffer is the number of lines that wait for a slow reader of standard output
// before new ones replace them. A node writes some hundred lines a second.
const logBuffer = 2000

func (c *command) loadBoot() (*bootstrap.Node, error) {
	c.acted = true
	boot, err := platform.LoadBoot(c.boot)
	if err != nil {
		return nil, &usageError{err}
	}
	return boot, nil
}

// runGateway runs a node on the users' platform.
func (c *command) runGateway(ctx context.Context) error {
	boot, err := c.loadBoot()
	if err != nil {
		return err
	}
	log, flush := c.gatewayLogger(boot.Name)
	defer flush()
	n, err := gateway.New(boot, func() (*bootstrap.Node, error) { return platform.LoadBoot(c.boot) }, log)
	if err != nil {
		return err
	}
	log.Info().Str("event", "start").Str("callers", n.CallersAddr()).Str("store", boot.StoreAddr).
		Str("domain", boot.Domain).Int64("memory_bytes", boot.MemoryBytes).Send()
	err = n.Run(ctx)
	log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return err
}

// gatewayLogger writes to standard output without ever waiting for its reader.
// Lines that it had no room for are counted in a line of their own.
func (c *command) gatewayLogger(node string) (log zerolog.Logger, flush func()) {
	out := keyValues(c.streams.Out)
	direct := zerolog.New(out)
	w := diode.NewWriter(out, logBuffer, 0, func(missed int) {
		direct.Warn().Str("event", "log_lines_dropped").Int("lines", missed).Send()
	})
	log = zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Str("node", node).Logger()
	// Close fails only where the underlying writer does, which has no close here.
	return log, func() { _ = w.Close() }
}

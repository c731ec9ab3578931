package daemon

import (
	"context"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/platform"
)

func (c *command) loadBoot() (*bootstrap.Node, error) {
	c.argsParsed = true
	boot, err := platform.LoadBoot(c.boot)
	if err != nil {
		return nil, &usageError{err}
	}
	return boot, nil
}

// runGateway runs a node in gateway mode, configured by the boot file.
func (c *command) runGateway(ctx context.Context) error {
	boot, err := c.loadBoot()
	if err != nil {
		return err
	}
	log, flush := c.gatewayLogger(boot.Name)
	defer flush()
	load := func() (*bootstrap.Node, error) { return platform.LoadBoot(c.boot) }
	n, err := gateway.New(boot, gateway.BootSource{Load: load, Hangups: c.hangups}, log)
	if err != nil {
		return err
	}
	log.Info().Str("event", "start").Str("callers", n.CallersAddr()).Str("store", boot.StoreAddr).
		Str("domain", boot.Domain).Int64("memory_bytes", boot.MemoryBytes).Send()
	err = n.Run(ctx)
	log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return err
}

package daemon

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/platform"
)

// maxBufferedLines is the number of log lines buffered for a slow reader of standard
// output: several seconds of output of a node, which writes some hundred lines a second.
// When the buffer is full, new lines replace the oldest.
const maxBufferedLines = 2000

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

// flushTimeout is how long a node that has stopped waits for the reader of its log. It is a part of the time that
// the gateway leaves for the exit of the process.
const flushTimeout = 200 * time.Millisecond

// gatewayLogger returns a logger that writes to standard output and never blocks on its
// reader. The number of dropped lines is logged as the event log_lines_dropped. flush
// writes the buffered lines and stops the logger; it gives up after flushTimeout.
func (c *command) gatewayLogger(node string) (log zerolog.Logger, flush func()) {
	out := keyValues(c.streams.out)
	unbuffered := zerolog.New(out)
	w := diode.NewWriter(out, maxBufferedLines, 0, func(dropped int) {
		unbuffered.Warn().Str("event", "log_lines_dropped").Int("lines", dropped).Send()
	})
	log = zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Str("node", node).Logger()
	return log, func() { flushWithin(flushTimeout, w) }
}

// flushWithin closes w, and returns after timeout at the latest.
func flushWithin(timeout time.Duration, w io.Closer) {
	flushed := make(chan struct{})
	go func() {
		_ = w.Close() // nothing can be logged any more
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(timeout):
	}
}

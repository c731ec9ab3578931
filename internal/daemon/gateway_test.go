package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter blocks until it is closed, as a pipe whose reader does not read.
type blockedWriter chan struct{}

// Write implements io.Writer.
func (w blockedWriter) Write(p []byte) (int, error) {
	<-w
	return len(p), nil
}

// TestFlushEndsWithoutReader guards against a node that doesn't exit as nobody reads its log.
func TestFlushEndsWithoutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := make(blockedWriter)
		c := &command{streams: streams{out: out}}
		log, flush := c.gatewayLogger("n")
		log.Info().Str("event", "stopped").Send()
		began := time.Now()
		flush()
		must.Eq(t, flushTimeout, time.Since(began))
		close(out)
	})
}

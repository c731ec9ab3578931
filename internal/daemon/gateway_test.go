package daemon

import (
	"sync/atomic"
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

// slowBuffer writes its only line after a delay.
type slowBuffer struct {
	written, lost atomic.Bool
}

// Buffered implements flusher.
func (b *slowBuffer) Buffered() bool { return !b.written.Load() }

// Close implements io.Closer.
func (b *slowBuffer) Close() error {
	b.lost.Store(b.Buffered())
	return nil
}

// TestFlushKeepsTheLastLine guards against a log that is closed while its last line is still buffered.
func TestFlushKeepsTheLastLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &slowBuffer{}
		time.AfterFunc(flushTimeout/4, func() { b.written.Store(true) })
		flushWithin(flushTimeout, b)
		must.False(t, b.lost.Load())
	})
}

// TestBufferedLinesAreCounted guards against a flush that waits for lines that were written or dropped.
func TestBufferedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := make(blockedWriter)
		w := newBufferedLines(out)
		for range 2 * maxBufferedLines {
			_, err := w.Write([]byte("{}\n"))
			must.NoError(t, err)
		}
		must.True(t, w.Buffered())
		close(out)
		synctest.Wait()
		must.False(t, w.Buffered())
		must.NoError(t, w.Close())
	})
}

package daemon

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
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

// lastLine keeps the last line that was written.
type lastLine struct{ line atomic.Value }

// Write implements io.Writer.
func (w *lastLine) Write(p []byte) (int, error) {
	w.line.Store(string(p))
	return len(p), nil
}

// TestLogOutlivesFlood guards against a log that stops once lines came faster than they were written.
func TestLogOutlivesFlood(t *testing.T) {
	const writers, lines = 16, 5000
	out := &lastLine{}
	w := newBufferedLines(keyValues(out))
	log := zerolog.New(w)
	var flood sync.WaitGroup
	for range writers {
		flood.Go(func() {
			for range lines {
				log.Info().Str("event", "request").Str("route", "/lookup/").Int("status", 200).Send()
			}
		})
	}
	flood.Wait()
	log.Info().Str("event", "last").Send()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			line, _ := out.line.Load().(string)
			return strings.Contains(line, "event=last")
		}),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond),
	))
	must.NoError(t, w.Close())
}

// TestLongLinesAreBounded guards against lines of callers' texts that take a small host's memory while they are buffered.
func TestLongLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := make(blockedWriter)
		w := newBufferedLines(out)
		for range maxBufferedLines {
			_, err := w.Write(make([]byte, 16<<10))
			must.NoError(t, err)
		}
		must.LessEq(t, maxBufferedBytes, w.requests.bytes+w.others.bytes)
		close(out)
		must.NoError(t, w.Close())
	})
}

// allLines keeps all lines that were written, each time it is allowed to go on.
type allLines struct {
	blockedWriter
	lines []string
}

// Write implements io.Writer.
func (w *allLines) Write(p []byte) (int, error) {
	<-w.blockedWriter
	w.lines = append(w.lines, string(p))
	return len(p), nil
}

// TestRequestLinesDisplaceNoOthers guards against a crowd of requests whose lines push out what the node logs of itself.
func TestRequestLinesDisplaceNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &allLines{blockedWriter: make(blockedWriter)}
		w := newBufferedLines(out)
		log := zerolog.New(w)
		log.Info().Str("event", "start").Send()
		log.Info().Str("event", "hangup").Send()
		for range 2 * maxBufferedLines {
			log.Info().Str("event", "request").Send()
		}
		log.Info().Str("event", "stopping").Send()
		close(out.blockedWriter)
		must.NoError(t, w.Close())
		text := strings.Join(out.lines, "")
		for _, event := range []string{"start", "hangup", "log_lines_dropped", "request", "stopping"} {
			must.StrContains(t, text, `"event":"`+event+`"`)
		}
		must.True(t, strings.Index(text, "hangup") < strings.Index(text, `"request"`))
		must.StrContains(t, out.lines[len(out.lines)-1], "stopping")
	})
}

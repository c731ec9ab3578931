package daemon

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is the number of log lines buffered for a slow reader of standard
	// output: several seconds of output of a node, which writes some hundred lines a second.
	// When the buffer is full, new lines replace the oldest.
	maxBufferedLines = 2000

	// flushTimeout is how long a node that has stopped waits for the reader of its log. It is a part of the time that
	// the gateway leaves for the exit of the process.
	flushTimeout = 200 * time.Millisecond

	// flushCheck is the time between two looks at whether all lines were written.
	flushCheck = time.Millisecond
)

// gatewayLogger returns a logger that writes to standard output and never blocks on its
// reader. The number of dropped lines is logged as the event log_lines_dropped. flush
// writes the buffered lines and stops the logger; it gives up after flushTimeout.
func (c *command) gatewayLogger(node string) (log zerolog.Logger, flush func()) {
	w := newBufferedLines(keyValues(c.streams.out))
	log = zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Str("node", node).Logger()
	return log, func() { flushWithin(flushTimeout, w) }
}

// bufferedLines is a log writer that buffers up to maxBufferedLines lines. Each call of Write is a line.
type bufferedLines struct {
	buffer  diode.Writer
	out     io.Writer
	queued  atomic.Int64
	settled atomic.Int64 // lines that were written to out, or dropped
}

// newBufferedLines starts a writer to out.
func newBufferedLines(out io.Writer) *bufferedLines {
	w := &bufferedLines{out: out}
	unbuffered := zerolog.New(out)
	w.buffer = diode.NewWriter(lineWriter{w}, maxBufferedLines, 0, func(dropped int) {
		w.settled.Add(int64(dropped))
		unbuffered.Warn().Str("event", "log_lines_dropped").Int("lines", dropped).Send()
	})
	return w
}

// lineWriter writes the lines of the buffer to the output.
type lineWriter struct{ lines *bufferedLines }

// Write implements io.Writer.
func (w lineWriter) Write(line []byte) (int, error) {
	defer w.lines.settled.Add(1)
	return w.lines.out.Write(line)
}

// Write implements io.Writer. It never blocks.
func (w *bufferedLines) Write(line []byte) (int, error) {
	w.queued.Add(1)
	return w.buffer.Write(line)
}

// Buffered reports whether lines wait to be written.
func (w *bufferedLines) Buffered() bool {
	return w.settled.Load() < w.queued.Load()
}

// Close implements io.Closer. A line that is queued while the buffer is about to wait for the next one is lost by it,
// so call it once Buffered is false.
func (w *bufferedLines) Close() error {
	return w.buffer.Close()
}

// flusher is a buffered writer that is flushed when a node ends.
type flusher interface {
	io.Closer
	Buffered() bool
}

var _ flusher = (*bufferedLines)(nil)

// flushWithin waits until w has written its lines, then closes it, and returns after timeout at the latest. Close
// has half of the time, as it wakes a buffer that has missed its last line.
func flushWithin(timeout time.Duration, w flusher) {
	deadline := time.After(timeout)
	for began := time.Now(); w.Buffered() && time.Since(began) < timeout/2; {
		time.Sleep(flushCheck)
	}
	closed := make(chan struct{})
	go func() {
		_ = w.Close() // nothing can be logged any more
		close(closed)
	}()
	select {
	case <-closed:
	case <-deadline:
	}
}

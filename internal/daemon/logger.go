package daemon

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxBufferedLines is the number of log lines buffered for a slow reader of standard
	// output: several seconds of output of a node, which writes some hundred lines a second.
	// maxBufferedBytes bounds them as well. When the buffer is full, new lines replace the oldest.
	maxBufferedLines = 2000
	maxBufferedBytes = 1 << 20

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

// bufferedLines is a log writer that buffers lines for a slow reader. Each call of Write is a line. It is safe for
// concurrent use.
type bufferedLines struct {
	out io.Writer

	mu      sync.Mutex
	changed sync.Cond // signaled when lines were added, or closed was set
	lines   [][]byte  // the oldest first
	bytes   int       // of lines
	dropped int       // lines, since the last that was written
	writing bool      // a line is being written to out
	closed  bool
	done    chan struct{} // closed when nothing more is written
}

// newBufferedLines starts a writer to out.
func newBufferedLines(out io.Writer) *bufferedLines {
	w := &bufferedLines{out: out, done: make(chan struct{})}
	w.changed.L = &w.mu
	go w.writeLines()
	return w
}

// Write implements io.Writer. It never waits for the reader.
func (w *bufferedLines) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, bytes.Clone(line))
	w.bytes += len(line)
	for len(w.lines) > maxBufferedLines || w.bytes > maxBufferedBytes {
		w.takeOldest()
		w.dropped++
	}
	w.changed.Signal()
	return len(line), nil
}

// takeOldest removes the oldest line. The mutex must be held.
func (w *bufferedLines) takeOldest() (line []byte) {
	line, w.lines[0] = w.lines[0], nil
	w.lines = w.lines[1:]
	w.bytes -= len(line)
	return line
}

// writeLines writes lines until the writer is closed and all are written.
func (w *bufferedLines) writeLines() {
	defer close(w.done)
	dropped := zerolog.New(w.out)
	for {
		line, lost, ok := w.next()
		if lost > 0 {
			dropped.Warn().Str("event", "log_lines_dropped").Int("lines", lost).Send()
		}
		if !ok {
			return
		}
		_, _ = w.out.Write(line) // without a reader, nothing can be logged
	}
}

// next waits for a line. It returns it with the number of lines that were dropped before, and false if there will be
// none.
func (w *bufferedLines) next() (line []byte, lost int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	for len(w.lines) == 0 && !w.closed {
		w.changed.Wait()
	}
	lost, w.dropped = w.dropped, 0
	if len(w.lines) == 0 {
		return nil, lost, false
	}
	w.writing = true
	return w.takeOldest(), lost, true
}

// Buffered reports whether lines wait to be written.
func (w *bufferedLines) Buffered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lines) > 0 || w.writing
}

// Close implements io.Closer. It returns when all lines are written.
func (w *bufferedLines) Close() error {
	w.mu.Lock()
	w.closed = true
	w.changed.Signal()
	w.mu.Unlock()
	<-w.done
	return nil
}

// flusher is a buffered writer that is flushed when a node ends.
type flusher interface {
	io.Closer
	Buffered() bool
}

var _ flusher = (*bufferedLines)(nil)

// flushWithin waits until w has written its lines, then closes it, and returns after timeout at the latest.
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

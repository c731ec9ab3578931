package daemon

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

const (
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

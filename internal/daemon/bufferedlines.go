package daemon

import (
	"bytes"
	"io"
	"sync"

	"github.com/rs/zerolog"
)

const (
	// maxBufferedLines and maxBufferedBytes bound the log lines that wait for a slow reader of standard output: several
	// seconds of output of a node, which writes some hundred lines a second. When the buffer is full, new lines replace
	// the oldest.
	maxBufferedLines = 2000
	maxBufferedBytes = 1 << 20
	// requestsPart is the part of these bounds for the lines of requests. Callers can cause any number of them, and they
	// must not displace what the log says of the node itself.
	requestsPart = 3.0 / 4
)

// requestEvents are what the lines of single requests contain.
var requestEvents = [][]byte{[]byte(`"event":"request"`), []byte(`"event":"sent_again"`)}

// bufferedLines is a log writer that buffers lines for a slow reader. Each call of Write is a line, in JSON. It is safe
// for concurrent use.
type bufferedLines struct {
	out io.Writer

	mu       sync.Mutex
	changed  sync.Cond // signaled when lines were added, or closed was set
	requests lineQueue // lines of single requests
	others   lineQueue
	added    int  // lines so far
	dropped  int  // lines, since the last that was written
	writing  bool // a line is being written to out
	closed   bool
	done     chan struct{} // closed when nothing more is written
}

// newBufferedLines starts a writer to out.
func newBufferedLines(out io.Writer) *bufferedLines {
	w := &bufferedLines{out: out, done: make(chan struct{})}
	w.requests = lineQueue{maxLines: requestsPart * maxBufferedLines, maxBytes: requestsPart * maxBufferedBytes}
	w.others = lineQueue{maxLines: (1 - requestsPart) * maxBufferedLines, maxBytes: (1 - requestsPart) * maxBufferedBytes}
	w.changed.L = &w.mu
	go w.writeLines()
	return w
}

// Write implements io.Writer. It never waits for the reader.
func (w *bufferedLines) Write(line []byte) (int, error) {
	text := bytes.Clone(line)
	queue := &w.others
	if isRequestLine(text) {
		queue = &w.requests
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.added++
	w.dropped += queue.push(bufferedLine{w.added, text})
	w.changed.Signal()
	return len(line), nil
}

func isRequestLine(line []byte) bool {
	for _, event := range requestEvents {
		if bytes.Contains(line, event) {
			return true
		}
	}
	return false
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

// next waits for a line. It returns the oldest one with the number of lines that were dropped before, and false if there
// will be none.
func (w *bufferedLines) next() (line []byte, lost int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	for w.waiting() == 0 && !w.closed {
		w.changed.Wait()
	}
	lost, w.dropped = w.dropped, 0
	if w.waiting() == 0 {
		return nil, lost, false
	}
	w.writing = true
	if w.others.isOlder(&w.requests) {
		return w.others.pop(), lost, true
	}
	return w.requests.pop(), lost, true
}

// waiting returns the number of lines in the buffer. The mutex must be held.
func (w *bufferedLines) waiting() int { return len(w.requests.lines) + len(w.others.lines) }

// Buffered reports whether lines wait to be written.
func (w *bufferedLines) Buffered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waiting() > 0 || w.writing
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

// bufferedLine is a line with its number in the order of the log.
type bufferedLine struct {
	number int
	text   []byte
}

// lineQueue holds a bounded number of lines, the oldest first.
type lineQueue struct {
	lines              []bufferedLine
	bytes              int // of lines
	maxLines, maxBytes int
}

// push adds a line, and returns how many of the oldest were dropped for it.
func (q *lineQueue) push(line bufferedLine) (dropped int) {
	q.lines = append(q.lines, line)
	q.bytes += len(line.text)
	for len(q.lines) > q.maxLines || q.bytes > q.maxBytes {
		q.pop()
		dropped++
	}
	return dropped
}

// pop removes the oldest line and returns its text.
func (q *lineQueue) pop() []byte {
	text := q.lines[0].text
	q.lines[0].text = nil
	q.lines = q.lines[1:]
	q.bytes -= len(text)
	return text
}

// isOlder reports whether the oldest line of q is older than that of other. An empty queue has none.
func (q *lineQueue) isOlder(other *lineQueue) bool {
	switch {
	case len(q.lines) == 0:
		return false
	case len(other.lines) == 0:
		return true
	}
	return q.lines[0].number < other.lines[0].number
}

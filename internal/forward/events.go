package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// readBytes is how much of a stream is read at once.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// deliverEvents passes on each whole event as it arrives. An event that breaks off
// is not passed on, so that a resumed stream can begin with it.
func (x *exchange) deliverEvents(answer *upstream.Answer, first func()) verdict {
	var pending []byte
	buffer := make([]byte, readBytes)
	resumed := x.written
	for {
		n, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			first()
			events := pending[:end+len(eventEnd)]
			if resumed {
				if !x.continues(events) {
					answer.Abort()
					x.cause = eris.New("a resumed stream does not go on where it broke off")
					return cut
				}
				resumed = false
			}
			if !x.writeEvents(answer, events) {
				answer.Abort()
				return cut
			}
			pending = append(pending[:0], pending[len(events):]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.endEvents(answer, pending)
		case err != nil:
			answer.Abort()
			x.cause = eris.Wrap(err, "read the stream")
			return x.brokenStream()
		case len(pending) > maxEventBytes:
			answer.Abort()
			x.cause = eris.New("an event is too long")
			return x.brokenStream()
		}
	}
}

// brokenStream returns the verdict on a stream that broke off.
func (x *exchange) brokenStream() verdict {
	if x.written {
		return cut
	}
	return failed
}

// endEvents delivers what follows the last event, and ends the answer. Where only the end of
// the connection ends it, one that comes within an event, or before any, is a break: an engine
// that fails closes its connections in the same way.
func (x *exchange) endEvents(answer *upstream.Answer, rest []byte) verdict {
	if answer.Unframed() && (len(rest) > 0 || !x.written) {
		answer.Abort()
		x.cause = eris.New("the connection ended within an event")
		return x.brokenStream()
	}
	if len(rest) > 0 || !x.written {
		if !x.writeEvents(answer, rest) {
			answer.Abort()
			return cut
		}
	}
	answer.Done()
	return delivered
}

// writeEvents passes events on at once, and notes the last one's id. It reports
// false where the caller can't be reached.
func (x *exchange) writeEvents(answer *upstream.Answer, events []byte) bool {
	if !x.written {
		x.writeHead(answer.Response, -1)
	}
	if id := lastID(events); id != "" {
		x.attrs.ResumeAfter = id
	}
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		x.cause = eris.Wrap(err, "write to the caller")
		x.unread = true
	}
	return err == nil
}

// continues reports whether the first of the events follows the last delivered one.
func (x *exchange) continues(events []byte) bool {
	if x.attrs.ResumeAfter == "" {
		return true
	}
	last, err := strconv.ParseInt(x.attrs.ResumeAfter, 10, 64)
	if err != nil {
		return true // ids of another form can't be compared
	}
	next, err := strconv.ParseInt(firstID(events), 10, 64)
	return err == nil && next > last
}

func firstID(events []byte) string {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

func lastID(events []byte) string {
	start := bytes.LastIndex(events, []byte("\nid:"))
	if start < 0 {
		return firstID(events)
	}
	return firstID(events[start+1:])
}

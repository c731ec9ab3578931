package forward

import (
	"bytes"
	"errors"
	"io"
	"iter"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// readBytes is how much of a stream is read at once.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// lineEnds are the bytes that end a line; "\r\n" is one end.
	lineEnds = "\r\n"

	fieldID   = "id"
	fieldData = "data"
)

var (
	errEventTooLong = eris.New("an event is too long")
	fieldSeparator  = []byte(":")
)

// eventReader cuts a stream of server-sent events into whole events.
type eventReader struct {
	body io.Reader
	// unframed is set where only the end of the connection ends the stream.
	unframed bool
	buffer   [readBytes]byte
	pending  []byte
	taken    int // bytes of pending that were returned
}

// next returns the whole events that have come, and the error that follows them. They are
// valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.pending = append(r.pending[:0], r.pending[r.taken:]...)
	r.taken = 0
	for {
		n, err := r.body.Read(r.buffer[:])
		r.pending = append(r.pending, r.buffer[:n]...)
		r.taken = eventsEnd(r.pending, r.unframed || !errors.Is(err, io.EOF))
		switch {
		case err != nil, r.taken > 0:
			return r.pending[:r.taken], err
		case len(r.pending) > maxEventBytes:
			return nil, errEventTooLong
		}
	}
}

// rest returns what has come of an event that is not whole.
func (r *eventReader) rest() []byte { return r.pending[r.taken:] }

// eventsEnd returns the length of the whole events that b begins with: it ends with an empty
// line. Where more may come, a "\r" at the end of b may be half of a line's end.
func eventsEnd(b []byte, more bool) int {
	end, start := 0, 0
	for {
		i := bytes.IndexAny(b[start:], lineEnds)
		if i < 0 {
			return end
		}
		next := start + i + 1
		if b[next-1] == '\r' {
			switch {
			case next == len(b) && more:
				return end
			case next < len(b) && b[next] == '\n':
				next++
			}
		}
		if i == 0 {
			end = next
		}
		start = next
	}
}

// event is what an event says of itself.
type event struct {
	id          string
	named, data bool // it has the field
}

// eventsOf returns the events of whole ones. Comments and the like are none.
func eventsOf(b []byte) iter.Seq[event] {
	return func(yield func(event) bool) {
		var e event
		for len(b) > 0 {
			var line []byte
			line, b = cutLine(b)
			if len(line) > 0 {
				e.read(line)
				continue
			}
			if e != (event{}) && !yield(e) {
				return
			}
			e = event{}
		}
	}
}

func (e *event) read(line []byte) {
	name, value, _ := bytes.Cut(line, fieldSeparator)
	switch string(name) {
	case fieldID:
		e.id, e.named = string(bytes.TrimSpace(value)), true
	case fieldData:
		e.data = true
	}
}

// cutLine cuts the first line off b, without its end.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexAny(b, lineEnds)
	if i < 0 {
		return b, nil
	}
	line, rest = b[:i], b[i+1:]
	if b[i] == '\r' {
		rest = bytes.TrimPrefix(rest, []byte("\n"))
	}
	return line, rest
}

// position is how far the caller's stream has come.
type position struct {
	last string // id of the last event that had one
	// unnamed is set where an event without an id follows that one: a stream that goes on
	// behind last would bring it again.
	unnamed bool
	// uncounted is set where the ids do not count the events one by one.
	uncounted bool
}

// positionAt returns the position of a caller that has the event of an id, "" for none. What its
// ids count is not known.
func positionAt(id string) position { return position{last: id, uncounted: id != ""} }

// pass notes events that the caller was sent.
func (p *position) pass(events []byte) {
	for e := range eventsOf(events) {
		if e.id == "" {
			p.unnamed = true
			continue
		}
		p.uncounted = p.uncounted || !p.precedes(e.id)
		p.last, p.unnamed = e.id, false
	}
}

// precedes reports whether id is the next number.
func (p *position) precedes(id string) bool {
	last, next, numeric := p.numbers(id)
	return numeric && next == last+1
}

// numbers returns the last id and another one as numbers. Before the first event it is at 0.
func (p *position) numbers(id string) (last, next int64, numeric bool) {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0, 0, false
	}
	if p.last == "" {
		return 0, next, true
	}
	last, err = strconv.ParseInt(p.last, 10, 64)
	return last, next, err == nil
}

// goesOn reports whether a resumed stream that begins with these events goes on where the
// caller's broke off, and whether there is an event among them to tell.
func (p *position) goesOn(events []byte) (ok, decided bool) {
	for e := range eventsOf(events) {
		return p.last == "" || e.id != "" && p.follows(e.id), true
	}
	return true, false
}

func (p *position) follows(id string) bool {
	if !p.uncounted {
		return p.precedes(id)
	}
	last, next, numeric := p.numbers(id)
	if !numeric {
		return id != p.last // ids of another form can't be compared
	}
	return next > last
}

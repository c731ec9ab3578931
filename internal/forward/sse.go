package forward

import (
	"bytes"
	"errors"
	"io"
	"iter"
	"strconv"

	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// readBytes is the buffer size for reads from a stream.
	readBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// eventBlockBytes is the part of an event that takes nothing of Buffers, and the step in which more is reserved.
	eventBlockBytes = 16 << 10
	// maxFillerBytes bounds what a stream may send between two events, such as comments.
	maxFillerBytes = 64 << 10
	// lineEnds are the bytes that end a line; "\r\n" counts as one line end.
	lineEnds = "\r\n"

	fieldID   = "id"
	fieldData = "data"
)

var fieldSeparator = []byte(":")

// eventReader splits a stream of server-sent events into complete events. It must be released.
type eventReader struct {
	body    io.Reader
	buffers *Buffers
	// closeDelimited is set if only the closing of the connection marks the end of the stream.
	closeDelimited bool
	buffer         [readBytes]byte
	pending        []byte
	consumed       int   // bytes of pending that were returned already
	reserved       int64 // of buffers
	filler         int   // bytes returned since the last event
}

// next reads until at least one event is complete, and returns the complete events and the error that
// ended reading, if any. The events are valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.pending = append(r.pending[:0], r.pending[r.consumed:]...)
	r.consumed = 0
	var blocks blockScanner
	for {
		n, err := r.body.Read(r.buffer[:])
		r.pending = append(r.pending, r.buffer[:n]...)
		r.consumed = blocks.scan(r.pending, r.closeDelimited || !errors.Is(err, io.EOF))
		switch {
		case r.consumed > 0 && r.isFiller(r.pending[:r.consumed]):
			return nil, &upstream.ExcessError{Part: upstream.PartNoEvent}
		case err != nil, r.consumed > 0:
			return r.pending[:r.consumed], err
		case !r.hasRoom():
			return nil, &upstream.ExcessError{Part: upstream.PartEvent}
		}
	}
}

// isFiller reports whether the stream has sent too much since its last event, after complete blocks were read.
func (r *eventReader) isFiller(blocks []byte) bool {
	if holdsEvent(blocks) {
		r.filler = 0
		return false
	}
	r.filler += len(blocks)
	return r.filler > maxFillerBytes
}

// hasRoom reports whether the pending event may become longer, and reserves memory for it.
func (r *eventReader) hasRoom() bool {
	if len(r.pending) > maxEventBytes {
		return false
	}
	for int64(len(r.pending)) > r.reserved+eventBlockBytes {
		if !r.buffers.reserveAnswer(r.reserved, eventBlockBytes) {
			return false
		}
		r.reserved += eventBlockBytes
	}
	return true
}

// release gives back the memory that was reserved.
func (r *eventReader) release() {
	r.buffers.releaseAnswer(r.reserved)
	r.reserved = 0
}

// incomplete returns the bytes read of an event that is not complete.
func (r *eventReader) incomplete() []byte { return r.pending[r.consumed:] }

// blockScanner finds the complete events at the start of a text that grows. It looks at each byte once.
type blockScanner struct {
	end       int // of the complete events
	lineStart int // of the line that is not complete
	scanned   int // bytes that need not be looked at again
}

// scan returns the length of the complete events at the start of b, which begins with the text of the call before.
// An event ends with an empty line. If more input may follow, a "\r" at the end of b may be the first half of
// "\r\n" and does not end a line yet.
func (s *blockScanner) scan(b []byte, more bool) int {
	for {
		i := bytes.IndexAny(b[s.scanned:], lineEnds)
		if i < 0 {
			s.scanned = len(b)
			return s.end
		}
		lineEnd := s.scanned + i
		next := lineEnd + 1
		if b[lineEnd] == '\r' {
			switch {
			case next == len(b) && more:
				s.scanned = lineEnd
				return s.end
			case next < len(b) && b[next] == '\n':
				next++
			}
		}
		if lineEnd == s.lineStart {
			s.end = next
		}
		s.lineStart, s.scanned = next, next
	}
}

// event holds the fields of one event that matter for resuming.
type event struct {
	id             string
	hasID, hasData bool // the field is present
}

// parseEvents iterates over the events in b, which must be complete. Blocks without an id or data
// field, such as comments, are skipped.
func parseEvents(b []byte) iter.Seq[event] {
	return func(yield func(event) bool) {
		var e event
		for len(b) > 0 {
			var line []byte
			line, b = cutLine(b)
			if len(line) > 0 {
				e.parseLine(line)
				continue
			}
			if e != (event{}) && !yield(e) {
				return
			}
			e = event{}
		}
	}
}

func (e *event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, fieldSeparator)
	switch string(name) {
	case fieldID:
		e.id, e.hasID = string(bytes.TrimSpace(value)), true
	case fieldData:
		e.hasData = true
	}
}

// holdsEvent reports whether parseEvents yields an event of b, which must be complete. It decodes none.
func holdsEvent(b []byte) bool {
	for len(b) > 0 {
		var line []byte
		line, b = cutLine(b)
		name, _, _ := bytes.Cut(line, fieldSeparator)
		if string(name) == fieldID || string(name) == fieldData {
			return true
		}
	}
	return false
}

// onlyComments reports whether b has no line of an event.
func onlyComments(b []byte) bool {
	for len(b) > 0 {
		var line []byte
		line, b = cutLine(b)
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// cutLine splits b after its first line, and returns the line without its end.
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

// position is the position in the caller's stream.
type position struct {
	lastID string // id of the last event that had one
	// endsWithoutID is set if an event without an id came after lastID: a stream resumed after
	// lastID would repeat it. It is also set for a plain answer, which can't be resumed.
	endsWithoutID bool
	// nonSequential is set if the ids do not number the events one by one, or if this is not known.
	// Gaps between ids are then accepted.
	nonSequential bool
}

// positionAt returns the position of a caller that has received the event with the given id, or
// none if it is empty. With an id, gaps between ids are accepted.
func positionAt(id string) position { return position{lastID: id, nonSequential: id != ""} }

// advance records events that are sent to the caller, and returns their number.
func (p *position) advance(events []byte) (count int) {
	for e := range parseEvents(events) {
		count++
		if e.id == "" {
			p.endsWithoutID = true
			continue
		}
		p.nonSequential = p.nonSequential || !p.isNext(e.id)
		p.lastID, p.endsWithoutID = e.id, false
	}
	return count
}

// isNext reports whether id is the number after the last id.
func (p *position) isNext(id string) bool {
	last, next, numeric := p.parseIDs(id)
	return numeric && next == last+1
}

// parseIDs parses the last id and id as numbers. Before the first event, the last id is 0.
func (p *position) parseIDs(id string) (last, next int64, numeric bool) {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0, 0, false
	}
	if p.lastID == "" {
		return 0, next, true
	}
	last, err = strconv.ParseInt(p.lastID, 10, 64)
	return last, next, err == nil
}

// continuedBy reports whether a resumed stream that begins with these events continues the caller's
// stream. decided is false if they contain no event to decide by.
func (p *position) continuedBy(events []byte) (ok, decided bool) {
	for e := range parseEvents(events) {
		return p.lastID == "" || e.id != "" && p.isLater(e.id), true
	}
	return true, false
}

func (p *position) isLater(id string) bool {
	if !p.nonSequential {
		return p.isNext(id)
	}
	last, next, numeric := p.parseIDs(id)
	if !numeric {
		return id != p.lastID // ids that are not numbers can't be ordered
	}
	return next > last
}

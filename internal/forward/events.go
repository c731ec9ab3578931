package forward

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/upstream"
)

// delivery is one endpoint's share of a stream.
type delivery struct {
	*eventReader
	// unchecked is set until an event shows that the stream goes on behind what the caller has.
	unchecked bool
	empty     bool // nothing was passed on
}

// deliverEvents passes on each whole event as it arrives. An event that breaks off
// is not passed on, so that a resumed stream can begin with it.
func (x *exchange) deliverEvents(answer *upstream.Answer, first func()) verdict {
	d := &delivery{
		eventReader: &eventReader{body: answer.Body, unframed: answer.Unframed()},
		unchecked:   x.written || x.route.Resumable && x.at.last != "",
		empty:       true,
	}
	for {
		events, err := d.next()
		if len(events) > 0 {
			first()
			if !x.passOn(answer, d, events) {
				return x.brokenStream(answer)
			}
		}
		if errors.Is(err, io.EOF) {
			return x.endEvents(answer, d)
		}
		if err != nil {
			x.lose(eris.Wrap(err, "read the stream"))
			return x.brokenStream(answer)
		}
	}
}

// passOn writes events that follow what the caller has. It reports false where they don't,
// or the caller can't be reached.
func (x *exchange) passOn(answer *upstream.Answer, d *delivery, events []byte) bool {
	if d.unchecked {
		ok, decided := x.at.goesOn(events)
		if !ok {
			x.cause = eris.New("a resumed stream does not go on where it broke off")
			return false
		}
		d.unchecked = !decided
	}
	d.empty = false
	return x.writeEvents(answer, events)
}

// brokenStream ends an answer that broke off, and returns the verdict on it.
func (x *exchange) brokenStream(answer *upstream.Answer) verdict {
	answer.Abort()
	if x.written {
		return cut
	}
	return failed
}

// endEvents delivers what follows the last event, and ends the answer. Where only the end of
// the connection ends it, one that comes within an event, or before any, is a break: an engine
// that fails closes its connections in the same way. Nothing but events follows those of
// another endpoint.
func (x *exchange) endEvents(answer *upstream.Answer, d *delivery) verdict {
	rest := d.rest()
	if d.unframed && (len(rest) > 0 || d.empty) {
		x.lose(eris.New("the connection ended within an event"))
		return x.brokenStream(answer)
	}
	if d.unchecked && len(rest) > 0 {
		x.cause = eris.New("a resumed stream ended within its first event")
		return x.brokenStream(answer)
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
	x.at.pass(events)
	x.attrs.ResumeAfter = x.at.last
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

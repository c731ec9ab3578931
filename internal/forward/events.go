package forward

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/upstream"
)

// streamDelivery is the delivery of one endpoint's part of a stream.
type streamDelivery struct {
	*eventReader
	// unverified is set until an event has shown that the stream continues after the last event
	// that the caller has.
	unverified bool
	empty      bool // nothing was forwarded
}

// deliverEvents forwards each complete event as it arrives. An incomplete event is not forwarded,
// so that a resumed stream can start with it.
func (x *exchange) deliverEvents(answer *upstream.Answer, onFirst func()) verdict {
	d := &streamDelivery{
		eventReader: &eventReader{body: answer.Body, buffers: x.Buffers, closeDelimited: answer.CloseDelimited()},
		unverified:  x.written || x.route.Resumable && x.position.lastID != "",
		empty:       true,
	}
	defer x.endPace()
	defer d.release()
	for {
		events, err := d.next()
		if len(events) > 0 {
			x.recordBegun()
			onFirst()
			if !x.forwardEvents(answer, d, events) {
				return x.abortStream(answer)
			}
		}
		if errors.Is(err, io.EOF) {
			return x.finishEvents(answer, d)
		}
		if err != nil {
			x.recordBrokenAnswer(eris.Wrap(err, "read the stream"))
			x.recordExcess(err)
			return x.abortStream(answer)
		}
	}
}

// recordBegun records that a complete event of the attempt has arrived.
func (x *exchange) recordBegun() {
	if !x.begun {
		x.begun = true
		x.clearParts()
	}
}

// forwardEvents forwards events after checking that they continue the caller's stream. It reports
// false if they don't, or if writing to the caller fails.
func (x *exchange) forwardEvents(answer *upstream.Answer, d *streamDelivery, events []byte) bool {
	if d.unverified {
		ok, decided := x.position.continuedBy(events)
		if !ok {
			x.cause = eris.New("resumed stream does not continue where it broke off")
			return false
		}
		d.unverified = !decided
	}
	d.empty = false
	return x.writeEvents(answer, events)
}

// abortStream aborts an answer that broke off and returns the verdict on it.
func (x *exchange) abortStream(answer *upstream.Answer) verdict {
	answer.Abort()
	if x.written {
		return streamBroken
	}
	return mayHaveRun
}

// finishEvents delivers what follows the last event and ends the answer. An end within an event counts as a break,
// however the body is framed. If only the closing of the connection marks the end, so does an end before any event,
// since a failing engine closes its connections in the same way. After another endpoint's events only further events
// may be delivered.
func (x *exchange) finishEvents(answer *upstream.Answer, d *streamDelivery) verdict {
	rest := d.incomplete()
	if !onlyComments(rest) || d.closeDelimited && (len(rest) > 0 || d.empty) {
		x.recordBrokenAnswer(eris.New("stream ended within an event, or its connection was closed before any"))
		return x.abortStream(answer)
	}
	if d.unverified && len(rest) > 0 {
		x.cause = eris.New("resumed stream ended before its first event")
		return x.abortStream(answer)
	}
	if len(rest) > 0 || !x.written {
		if !x.writeEvents(answer, rest) {
			answer.Abort()
			return streamBroken
		}
	}
	answer.Done()
	return delivered
}

// writeEvents writes events, flushes them and records the last one's id. It reports false if
// writing to the caller fails.
func (x *exchange) writeEvents(answer *upstream.Answer, events []byte) bool {
	if !x.written {
		x.recordOrigin()
		x.writeHead(answer.Response, -1)
	}
	x.observeEvents(x.position.advance(events))
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		x.cause = eris.Wrap(err, "write to the caller")
		x.callerWriteFailed = true
	}
	x.awaitEvents()
	return err == nil
}

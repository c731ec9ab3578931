package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/upstream"
)

// maxAnswerBytes bounds a plain answer that is read whole before it is delivered.
const maxAnswerBytes = 16 << 20

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHop(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// deliver takes an answer to the caller. first is called with the first byte of
// the answer itself.
func (x *exchange) deliver(answer *upstream.Answer, info *AnswerInfo, first func()) verdict {
	if info.NotRun {
		x.cause = eris.Errorf("refused with status %d", answer.StatusCode)
		x.drain(answer)
		return notRun
	}
	success := answer.StatusCode < http.StatusMultipleChoices
	if success && !info.Sealed {
		answer.Abort()
		x.cause = eris.New("a success without a seal")
		return failed
	}
	if success && info.Events && plainBytes(answer) {
		return x.deliverEvents(answer, first)
	}
	if x.written {
		// The caller has events of another endpoint, which only events may follow.
		answer.Abort()
		x.cause = eris.Errorf("a stream under way was answered with status %d", answer.StatusCode)
		return cut
	}
	return x.deliverWhole(answer, first)
}

// plainBytes reports whether events can be told apart in an answer's body.
func plainBytes(answer *upstream.Answer) bool {
	encoding := answer.Header.Get("Content-Encoding")
	return encoding == "" || encoding == "identity"
}

// drain reads a short answer that is not delivered, so that its connection can be
// kept.
func (x *exchange) drain(answer *upstream.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes)); err != nil {
		answer.Abort()
		return
	}
	answer.Done()
}

// deliverWhole reads an answer to its end before the caller sees any of it, but for a long one.
func (x *exchange) deliverWhole(answer *upstream.Answer, first func()) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	first()
	if err == nil && len(body) == 0 && answer.Unframed() {
		err = eris.New("the connection ended behind the head")
	}
	if err != nil {
		answer.Abort()
		x.lose(eris.Wrap(err, "read the answer"))
		return failed
	}
	if x.rejects(answer.StatusCode) {
		answer.Done()
		return failed
	}
	if len(body) > maxAnswerBytes {
		return x.deliverLong(answer, body)
	}
	answer.Done()
	x.writeHead(answer.Response, int64(len(body)))
	if _, err := x.w.Write(body); err != nil {
		x.Log.Debug().Str("event", "answer_unread").Str("id", x.attrs.ID).Err(err).Send()
	}
	return whole(answer.StatusCode)
}

// deliverLong passes on an answer that is too long to be held. One that breaks off is never
// followed by another.
func (x *exchange) deliverLong(answer *upstream.Answer, begun []byte) verdict {
	x.writeHead(answer.Response, answer.ContentLength)
	x.at.unnamed = true
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(begun), answer.Body)); err != nil {
		answer.Abort()
		x.cause = eris.Wrap(err, "pass on a long answer")
		return cut
	}
	answer.Done()
	return whole(answer.StatusCode)
}

// whole is the verdict on an answer that was delivered to its end.
func whole(status int) verdict {
	if status >= http.StatusInternalServerError {
		return answered
	}
	return delivered
}

// rejects reports whether an answer of this status is not delivered.
func (x *exchange) rejects(status int) bool {
	if status >= http.StatusInternalServerError && x.wantsAnother() {
		x.cause = eris.Errorf("answered with status %d", status)
		return true
	}
	if promisesNotRun(status) {
		x.cause = eris.Errorf("status %d without proof that it did not run", status)
		return true
	}
	return false
}

// wantsAnother reports whether an endpoint's error is worth another attempt.
func (x *exchange) wantsAnother() bool {
	return x.repeatable() && x.outcome.Attempts < min(x.route.MaxAttempts, maxSends)
}

// promisesNotRun reports whether callers read a status as proof that the request
// did not run, which only an endpoint's own statement is.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeHead writes the endpoint's status and headers. length is -1 for a stream.
func (x *exchange) writeHead(resp *http.Response, length int64) {
	header := x.w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	removeHopByHop(header)
	if x.r.Method != http.MethodHead { // there it is the length of what GET would bring
		setLength(header, resp.StatusCode, length)
	}
	x.outcome.Status = resp.StatusCode
	x.outcome.First = x.Clock.Since(x.arrived)
	x.written = true
	x.w.WriteHeader(resp.StatusCode)
}

func setLength(header http.Header, status int, length int64) {
	header.Del("Content-Length")
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

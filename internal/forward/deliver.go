package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// maxUnsizedBytes bounds a plain answer that states no length.
	maxUnsizedBytes = 64 << 20
	// unsizedBlockBytes is the part of such an answer that is handed on at once; see Pacer.
	unsizedBlockBytes = 64 << 10
	// maxDiscardedBytes and maxDiscardTime bound the body of an answer that is not delivered: reading it saves a
	// connection, and the request may have to be sent elsewhere.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 50 * time.Millisecond
)

// hopByHop are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes what applies to a single connection: the headers that Connection lists, unless they are known
// to be end-to-end, and hopByHop.
func (x *exchange) removeHopByHop(h http.Header) {
	for _, field := range h["Connection"] {
		for listed := range strings.SplitSeq(field, ",") {
			name := http.CanonicalHeaderKey(strings.TrimSpace(listed))
			if !x.Dialect.EndToEnd(name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// deliver passes an endpoint's answer on to the caller and returns the verdict. onFirst
// is called when the first events of a stream, or a plain answer as far as it is buffered, have been
// read, possibly several times.
func (x *exchange) deliver(answer *upstream.Answer, info *AnswerInfo, onFirst func()) verdict {
	if info.NotRun {
		x.cause = eris.Errorf("endpoint refused the request with status %d", answer.StatusCode)
		_ = x.discardBody(answer) // that the request did not run is certain without it
		return notRun
	}
	success := answer.StatusCode < http.StatusMultipleChoices
	if success && !info.Signed {
		answer.Abort()
		x.cause = eris.New("success answer without an endpoint signature")
		return mayHaveRun
	}
	if success && info.Events && unencoded(answer) {
		return x.deliverEvents(answer, onFirst)
	}
	if x.written {
		// Events of another endpoint were delivered already: only events may follow.
		answer.Abort()
		x.cause = eris.Errorf("resumed stream was answered with status %d", answer.StatusCode)
		return streamBroken
	}
	return x.deliverBuffered(answer, onFirst)
}

// unencoded reports whether an answer's body has no content encoding, so that event boundaries can
// be found in it.
func unencoded(answer *upstream.Answer) bool {
	encoding := answer.Header.Get("Content-Encoding")
	return encoding == "" || encoding == "identity"
}

// discardBody reads an answer that is not delivered, so that its connection can be reused, or closes the connection. It
// returns the error of a connection that broke.
func (x *exchange) discardBody(answer *upstream.Answer) error {
	err := answer.Discard(maxDiscardedBytes, maxDiscardTime)
	if x.recordExcess(err) {
		return nil
	}
	return err
}

// withhold discards an answer that must not be delivered.
func (x *exchange) withhold(answer *upstream.Answer) verdict {
	if err := x.discardBody(answer); err != nil {
		x.recordBrokenAnswer(eris.Wrap(err, "read the body of a withheld answer"))
	}
	return mayHaveRun
}

// deliverBuffered buffers the complete answer, then delivers it unless its status must be withheld.
// Answers that are too long for that go to deliverLong.
func (x *exchange) deliverBuffered(answer *upstream.Answer, onFirst func()) verdict {
	x.endUncertain = answer.CloseDelimited()
	if x.withholds(answer.StatusCode) {
		onFirst()
		return x.withhold(answer)
	}
	body := &bufferedBody{buffers: x.Buffers}
	defer body.release()
	complete, err := body.readFrom(answer.Body, answer.ContentLength)
	onFirst()
	if complete && body.length == 0 && answer.CloseDelimited() {
		err = eris.New("connection closed after the response header")
	}
	if err != nil {
		answer.Abort()
		x.recordBrokenAnswer(eris.Wrap(err, "read answer body"))
		return mayHaveRun
	}
	if !complete {
		return x.deliverLong(answer, body)
	}
	answer.Done()
	x.writeHead(answer.Response, body.length)
	if err := body.writeTo(x.w); err != nil {
		x.Log.Debug().Str("event", "answer_unread").Str("id", logged(x.attrs.ID)).Err(err).Send()
	}
	return deliveredVerdict(answer.StatusCode)
}

// deliverLong streams an answer that is too long to buffer; begun is the part already read. If the
// answer breaks off, the request is not sent again.
func (x *exchange) deliverLong(answer *upstream.Answer, begun *bufferedBody) verdict {
	x.writeHead(answer.Response, answer.ContentLength)
	x.position.endsWithoutID = true
	length := begun.length
	err := begun.writeTo(x.w)
	begun.release()
	if err == nil {
		err = x.copyRest(answer, length)
	}
	if err != nil {
		answer.Abort()
		x.cause = eris.Wrap(err, "stream a long answer to the caller")
		x.recordExcess(err)
		return streamBroken
	}
	answer.Done()
	return deliveredVerdict(answer.StatusCode)
}

// copyRest copies the rest of an answer to the caller, of which length bytes were written already.
func (x *exchange) copyRest(answer *upstream.Answer, length int64) error {
	if answer.ContentLength >= 0 {
		_, err := io.Copy(x.w, answer.Body)
		return err
	}
	for length < maxUnsizedBytes {
		n, err := io.CopyN(x.w, answer.Body, unsizedBlockBytes)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		length += n
		x.Pacer.await(x.r.Context(), n)
	}
	return &upstream.ExcessError{Part: upstream.PartBody}
}

// deliveredVerdict returns the verdict on an answer that was delivered in full.
func deliveredVerdict(status int) verdict {
	if status >= http.StatusInternalServerError {
		return errorDelivered
	}
	return delivered
}

// withholds reports whether an answer of this status must not be delivered, and sets x.cause if so.
func (x *exchange) withholds(status int) bool {
	if status >= http.StatusInternalServerError && x.retriesErrors() {
		x.cause = eris.Errorf("endpoint answered with status %d", status)
		return true
	}
	if promisesNotRun(status) {
		x.cause = eris.Errorf("status %d without proof that the request did not run", status)
		return true
	}
	return false
}

// retriesErrors reports whether the request may be sent again after an endpoint's own error. A helper
// has sent it again already.
func (x *exchange) retriesErrors() bool {
	return x.retryable() && x.helper == "" && x.outcome.Attempts < min(x.maxAttempts(), maxSends)
}

// promisesNotRun reports whether callers take a status as proof that the request did not run. An
// endpoint's status alone is no proof, so such an answer is not delivered.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeHead writes the endpoint's status and headers. length is -1 if the length of the body is
// unknown.
func (x *exchange) writeHead(resp *http.Response, length int64) {
	header := x.w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	x.removeHopByHop(header)
	handoff.Strip(header)
	if x.r.Method != http.MethodHead { // for HEAD, Content-Length is the length that GET would return
		setContentLength(header, resp.StatusCode, length)
	}
	x.outcome.Status = resp.StatusCode
	x.outcome.TimeToFirstByte = x.Clock.Since(x.arrived)
	x.written = true
	x.w.WriteHeader(resp.StatusCode)
}

func setContentLength(header http.Header, status int, length int64) {
	header.Del("Content-Length")
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	earlyRuns   = 10       // two goroutines compete for the error of a connection
	uploadBytes = 16 << 20 // more than the socket buffers of a connection hold
)

// earlyAnswer is what an endpoint sends before it has read the body of its request, and how it ends the connection.
type earlyAnswer struct {
	text string
	end  func(conn *net.TCPConn)
}

func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// halfClose closes the endpoint's direction and resets the connection after more of the request has come.
func halfClose(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.CopyN(io.Discard, conn, uploadBytes/4)
	reset(conn)
}

// takeRest closes the endpoint's direction and reads on until the caller closes.
func takeRest(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// newEarlyHandler starts a handler in front of an endpoint that answers early, and a sound one.
func newEarlyHandler(t *testing.T, early earlyAnswer) *testHandler {
	t.Helper()
	sound := listen(t, fixedAnswer(head(http.StatusOK, contentLength(len("sound")))+"sound"))
	h := &testHandler{}
	h.start(t, []string{answerheadtest.ServeConn(t, early.serve), sound})
	h.state.config.Limits.BodyBytes = 2 * uploadBytes
	return h
}

func (e earlyAnswer) serve(conn *net.TCPConn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return // the client closed the connection
	}
	_, _ = io.WriteString(conn, e.text)
	e.end(conn)
}

// TestEarlyAnswers guards against a part of an answer that passes for a whole one: the endpoint answers a long upload
// before it has read it, states no length, and breaks off.
func TestEarlyAnswers(t *testing.T) {
	part := strings.Repeat("p", 1000)
	unsized, sized := head(http.StatusOK, ""), head(http.StatusOK, contentLength(len(part)))
	old := strings.Replace(unsized, "HTTP/1.1", "HTTP/1.0", 1)
	tests := []struct {
		name       string
		early      earlyAnswer
		idempotent result
		upload     result
	}{
		{name: "reset", early: earlyAnswer{unsized + part, reset}, idempotent: served, upload: failed},
		{name: "closed with unread bytes", early: earlyAnswer{unsized + part, func(*net.TCPConn) {}}, idempotent: served, upload: failed},
		{name: "closed for writing, then reset", early: earlyAnswer{unsized + part, halfClose}, idempotent: served, upload: failed},
		{name: "HTTP/1.0", early: earlyAnswer{old + part, reset}, idempotent: served, upload: failed},
		{name: "error", early: earlyAnswer{head(http.StatusBadRequest, "") + part, reset}, idempotent: served, upload: failed},
		{name: "whole, and the request is read", early: earlyAnswer{unsized + part, takeRest}, idempotent: answered, upload: answered},
		{name: "whole with its length", early: earlyAnswer{sized + part, halfClose}, idempotent: answered, upload: answered},
	}
	for _, tc := range tests {
		for path, want := range map[string]result{recordPath: tc.idempotent, uploadPath: tc.upload} {
			t.Run(tc.name+path, func(t *testing.T) {
				h := newEarlyHandler(t, tc.early)
				h.handler.Buffers = forward.NewBuffers(2 * uploadBytes)
				for range earlyRuns {
					got := h.do(t, http.MethodPost, path, strings.Repeat("x", uploadBytes), nil)
					if want == answered {
						must.Eq(t, part, got.body)
						continue
					}
					must.Eq(t, want, seenByUpload(got))
				}
				test.Zero(t, h.handler.Buffers.Used())
			})
		}
	}
}

// seenByUpload returns what the caller of an endpoint that answers early sees.
func seenByUpload(r response) result {
	if r.err == nil && r.status == http.StatusOK && r.body != "sound" {
		return answered
	}
	return seenBy(r)
}

// TestLongEarlyAnswerIsNotWhole guards against the same where the answer is too long for a buffer: how much of it arrives
// before the reset differs.
func TestLongEarlyAnswerIsNotWhole(t *testing.T) {
	h := newEarlyHandler(t, earlyAnswer{head(http.StatusOK, "") + strings.Repeat("p", 2<<20), reset})
	h.handler.Buffers = forward.NewBuffers(2 * uploadBytes)
	for range earlyRuns {
		got := h.do(t, http.MethodPost, uploadPath, strings.Repeat("x", uploadBytes), nil)
		must.True(t, got.err != nil || got.status == http.StatusBadGateway)
	}
}

// TestEarlyEventsEndWithReset guards against a regular end of a stream whose endpoint broke off while the prompt was
// still being sent.
func TestEarlyEventsEndWithReset(t *testing.T) {
	for range earlyRuns {
		h := newEarlyHandler(t, earlyAnswer{head(http.StatusOK, eventStream) + events(1, 1), reset})
		got := h.do(t, http.MethodPost, streamPath, strings.Repeat("x", uploadBytes), nil)
		if got.status == http.StatusOK { // the connection broke off after the first event
			must.Error(t, got.err)
			must.Eq(t, events(1, 1), got.body)
			continue
		}
		must.Eq(t, http.StatusBadGateway, got.status)
	}
}

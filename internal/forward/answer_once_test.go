package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// TestAnswerOnce checks that a caller receives the answer of exactly one endpoint, or a stream that
// is continued correctly.
//
// An error or another stream must not follow an answer that was delivered in part or in full. This
// happens if the retry decision ignores what was delivered: a second engine's error response is
// written into the stream that it was to resume, or its events follow the first engine's error. In
// the log such a request has the verdict "answered" for its first send and the cause "wrote more
// than the declared Content-Length" at its end.
func TestAnswerOnce(t *testing.T) {
	failing := modelserver.Faults{Status: http.StatusInternalServerError}
	cut := modelserver.Faults{CutAfter: 2}
	const failure = "s1 answers r1"
	tests := []struct {
		name          string
		path          string
		first, second modelserver.Faults
		status        int
		body          string
		complete      bool
	}{
		{name: "cut, then an error", path: resumePath, first: cut, second: failing, status: http.StatusOK, body: events(1, 2)},
		{name: "cut, then a client error", path: resumePath, first: cut, second: modelserver.Faults{Status: http.StatusBadRequest}, status: http.StatusOK, body: events(1, 2)},
		{name: "cut, then an answer other than a stream", path: resumePath, first: cut, second: modelserver.Faults{Status: http.StatusCreated}, status: http.StatusOK, body: events(1, 2)},
		{name: "cut, then refused", path: resumePath, first: cut, second: modelserver.Faults{RejectRequests: true}, status: http.StatusOK, body: events(1, 2)},
		{name: "cut within the first event, then an error", path: resumePath, first: modelserver.Faults{CutAfter: -1}, second: failing, status: http.StatusInternalServerError, body: failure, complete: true},
		{name: "error, then a stream", path: resumePath, first: failing, status: http.StatusOK, body: events(1, streamSize), complete: true},
		{name: "error twice", path: resumePath, first: failing, second: failing, status: http.StatusInternalServerError, body: failure, complete: true},
		{name: "error, not resumable", path: streamPath, first: failing, status: http.StatusInternalServerError, body: "s0 answers r1", complete: true},
		{name: "client error", path: resumePath, first: modelserver.Faults{Status: http.StatusBadRequest}, status: http.StatusBadRequest, body: "s0 answers r1", complete: true},
		{name: "no length, complete", path: streamPath, first: modelserver.Faults{Unframed: true}, status: http.StatusOK, body: events(1, streamSize), complete: true},
		{name: "no length, ends within an event", path: streamPath, first: modelserver.Faults{Unframed: true, CutAfter: 2}, status: http.StatusOK, body: events(1, 2)},
		{name: "no length, ends within an event, resumed", path: resumePath, first: modelserver.Faults{Unframed: true, CutAfter: 2}, status: http.StatusOK, body: events(1, streamSize), complete: true},
		{name: "no length, ends within the first event", path: streamPath, first: modelserver.Faults{Unframed: true, CutAfter: -1}, status: http.StatusBadGateway, complete: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, model, model)
			h.servers[0].SetFaults(tc.first)
			h.servers[1].SetFaults(tc.second)
			got := h.do(t, http.MethodPost, tc.path, "prompt", nil)
			test.Eq(t, tc.status, got.status)
			test.Eq(t, tc.complete, got.err == nil, test.Sprint(got.err))
			if tc.status != http.StatusBadGateway {
				test.Eq(t, tc.body, got.body)
			}
		})
	}
}

// TestCallerResumesAtFailingEndpoints checks that a caller that resumes a broken stream at failing
// endpoints receives the rest of the stream or the complete error of one endpoint, and never an
// error after events.
func TestCallerResumesAtFailingEndpoints(t *testing.T) {
	failing := modelserver.Faults{Status: http.StatusInternalServerError}
	tests := []struct {
		name          string
		first, second modelserver.Faults
		status        int
		body          string
		complete      bool
	}{
		{name: "both fail", first: failing, second: failing, status: http.StatusInternalServerError, body: "s1 answers r1", complete: true},
		{name: "the first fails", first: failing, status: http.StatusOK, body: events(3, streamSize), complete: true},
		{name: "cut again, then an error", first: modelserver.Faults{CutAfter: 3}, second: failing, status: http.StatusOK, body: events(3, 3)},
		{name: "cut again, then the rest", first: modelserver.Faults{CutAfter: 3}, status: http.StatusOK, body: events(3, streamSize), complete: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, model, model)
			h.servers[0].SetFaults(tc.first)
			h.servers[1].SetFaults(tc.second)
			got := h.do(t, http.MethodPost, resumePath, "prompt", func(r *http.Request) { r.Header.Set("Last-Event-Id", "2") })
			test.Eq(t, tc.status, got.status)
			test.Eq(t, tc.complete, got.err == nil, test.Sprint(got.err))
			test.Eq(t, tc.body, got.body)
		})
	}
}

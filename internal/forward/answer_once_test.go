package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// TestAnswerOnce keeps a caller's answer one endpoint's answer, or a stream that goes on.
//
// What callers saw: streams that ended in an orderly way, with pieces missing or with the
// text of an error behind the last piece; and connections closed in the middle of an answer.
// The order of events: an engine broke off a stream, the request went to a second engine with
// the last event's id, and that one answered with an error of its own, which was written into
// the stream as if it were events, with the stream's proper end behind it. Or the first engine
// answered with an error, which the caller was given, and the request was sent again all the
// same, with the second engine's events behind the error's last byte.
//
// The cause: whether the caller has an answer, in part or whole, was no part of what decided
// what may follow. The evidence: the log of a node, where one request has both "answered" as
// the verdict of its first send and "wrote more than the declared Content-Length" as the cause
// of its end.
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
		whole         bool
	}{
		{name: "cut, then an error", path: resumePath, first: cut, second: failing, status: http.StatusOK, body: events(1, 2)},
		{name: "cut, then an error of the caller", path: resumePath, first: cut, second: modelserver.Faults{Status: http.StatusBadRequest}, status: http.StatusOK, body: events(1, 2)},
		{name: "cut, then an answer that is no stream", path: resumePath, first: cut, second: modelserver.Faults{Status: http.StatusCreated}, status: http.StatusOK, body: events(1, 2)},
		{name: "cut, then refused", path: resumePath, first: cut, second: modelserver.Faults{Shed: true}, status: http.StatusOK, body: events(1, 2)},
		{name: "cut within the first event, then an error", path: resumePath, first: modelserver.Faults{CutAfter: -1}, second: failing, status: http.StatusInternalServerError, body: failure, whole: true},
		{name: "error, then a stream", path: resumePath, first: failing, status: http.StatusOK, body: events(1, streamSize), whole: true},
		{name: "error twice", path: resumePath, first: failing, second: failing, status: http.StatusInternalServerError, body: failure, whole: true},
		{name: "error, not resumable", path: streamPath, first: failing, status: http.StatusInternalServerError, body: "s0 answers r1", whole: true},
		{name: "error of the caller", path: resumePath, first: modelserver.Faults{Status: http.StatusBadRequest}, status: http.StatusBadRequest, body: "s0 answers r1", whole: true},
		{name: "no length, whole", path: streamPath, first: modelserver.Faults{Unframed: true}, status: http.StatusOK, body: events(1, streamSize), whole: true},
		{name: "no length, ends within an event", path: streamPath, first: modelserver.Faults{Unframed: true, CutAfter: 2}, status: http.StatusOK, body: events(1, 2)},
		{name: "no length, ends within an event, resumed", path: resumePath, first: modelserver.Faults{Unframed: true, CutAfter: 2}, status: http.StatusOK, body: events(1, streamSize), whole: true},
		{name: "no length, ends within the first event", path: streamPath, first: modelserver.Faults{Unframed: true, CutAfter: -1}, status: http.StatusBadGateway, whole: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, model, model)
			w.servers[0].SetFaults(tc.first)
			w.servers[1].SetFaults(tc.second)
			got := w.do(t, http.MethodPost, tc.path, "prompt", nil)
			test.Eq(t, tc.status, got.status)
			test.Eq(t, tc.whole, got.err == nil, test.Sprint(got.err))
			if tc.status != http.StatusBadGateway {
				test.Eq(t, tc.body, got.body)
			}
		})
	}
}

// TestCallerResumesAtFailingEndpoints: a caller whose stream broke off goes on with it at endpoints
// that fail. It gets the rest of its stream, or one endpoint's error whole, and never an error
// behind events.
func TestCallerResumesAtFailingEndpoints(t *testing.T) {
	failing := modelserver.Faults{Status: http.StatusInternalServerError}
	tests := []struct {
		name          string
		first, second modelserver.Faults
		status        int
		body          string
		whole         bool
	}{
		{name: "both fail", first: failing, second: failing, status: http.StatusInternalServerError, body: "s1 answers r1", whole: true},
		{name: "the first fails", first: failing, status: http.StatusOK, body: events(3, streamSize), whole: true},
		{name: "cut again, then an error", first: modelserver.Faults{CutAfter: 3}, second: failing, status: http.StatusOK, body: events(3, 3)},
		{name: "cut again, then the rest", first: modelserver.Faults{CutAfter: 3}, status: http.StatusOK, body: events(3, streamSize), whole: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, model, model)
			w.servers[0].SetFaults(tc.first)
			w.servers[1].SetFaults(tc.second)
			got := w.do(t, http.MethodPost, resumePath, "prompt", func(r *http.Request) { r.Header.Set("Last-Event-Id", "2") })
			test.Eq(t, tc.status, got.status)
			test.Eq(t, tc.whole, got.err == nil, test.Sprint(got.err))
			test.Eq(t, tc.body, got.body)
		})
	}
}

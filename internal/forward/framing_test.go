package forward_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
)

// TestCallerResumes checks that a stream which does not continue after the event whose id the
// caller states is not delivered as the answer. Gaps are accepted here: the node has not seen the
// earlier ids, so it is unknown whether they number the events one by one.
func TestCallerResumes(t *testing.T) {
	tests := []struct {
		name, last    string
		first, second string
		body          string
	}{
		{name: "stream continues", last: "2", first: events(3, streamSize), body: events(3, streamSize)},
		{name: "continues at a higher id", last: "2", first: events(4, streamSize), body: events(4, streamSize)},
		{name: "starts again, the second continues", last: "2", first: events(1, streamSize), second: events(3, streamSize), body: events(3, streamSize)},
		{name: "repeats, the second continues", last: "2", first: events(2, streamSize), second: events(3, streamSize), body: events(3, streamSize)},
		{name: "ids of another form", last: "a:2", first: "id: a:3\ndata: x\n\n", body: "id: a:3\ndata: x\n\n"},
		{name: "no events left", last: "4", first: "", body: ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newRawTestHandler(t, fixedAnswer(streamOf(tc.first, -1)), fixedAnswer(streamOf(tc.second, -1)))
			got := h.do(t, http.MethodPost, resumePath, "prompt", func(r *http.Request) { r.Header.Set("Last-Event-Id", tc.last) })
			test.Eq(t, http.StatusOK, got.status)
			test.NoError(t, got.err)
			test.Eq(t, tc.body, got.body)
		})
	}
}

// TestEventsThatBreakOff checks that a caller always has a prefix of the complete stream, and a
// regular end of stream only with all of it, for every kind of line end and every answer of the
// second endpoint.
func TestEventsThatBreakOff(t *testing.T) {
	lf := events(1, streamSize)
	crlf, cr := eventsWithLineEnd(1, streamSize, "\r\n"), eventsWithLineEnd(1, streamSize, "\r")
	unnamed := "id: 1\ndata: a\n\ndata: b\n\n"
	lengthUpTo := func(n int) int { return len(events(1, n)) }
	tests := []struct {
		name          string
		path          string
		first, second string
		body          string
		complete      bool
	}{
		{name: "stream continues", path: resumePath, first: streamOf(lf, lengthUpTo(2)+3), second: streamOf(events(3, streamSize), -1), body: lf, complete: true},
		{name: "lines end with CR and LF", path: resumePath, first: streamOf(crlf, len(eventsWithLineEnd(1, 2, "\r\n"))+3), second: streamOf(eventsWithLineEnd(3, streamSize, "\r\n"), -1), body: crlf, complete: true},
		{name: "lines end with CR and LF, cut between them", path: resumePath, first: streamOf(crlf, len(eventsWithLineEnd(1, 2, "\r\n"))-1), second: streamOf(eventsWithLineEnd(2, streamSize, "\r\n"), -1), body: crlf, complete: true},
		{name: "lines end with CR", path: resumePath, first: streamOf(cr, len(eventsWithLineEnd(1, 2, "\r"))+3), second: streamOf(eventsWithLineEnd(3, streamSize, "\r"), -1), body: cr, complete: true},
		{name: "CR and LF, not resumable", path: streamPath, first: streamOf(crlf, len(eventsWithLineEnd(1, 2, "\r\n"))+3), body: eventsWithLineEnd(1, 2, "\r\n")},
		{name: "skips an event", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: streamOf(events(4, streamSize), -1), body: events(1, 2)},
		{name: "repeats the last", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: streamOf(events(2, streamSize), -1), body: events(1, 2)},
		{name: "starts again", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: streamOf(lf, -1), body: events(1, 2)},
		{name: "continues without an id", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: streamOf("data: a\n\n"+events(3, streamSize), -1), body: events(1, 2)},
		{name: "an event without an id before the cut", path: resumePath, first: streamOf(unnamed+events(2, 3), len(unnamed)), second: streamOf("data: b\n\n"+events(2, 3), -1), body: unnamed},
		{name: "no ids at all", path: resumePath, first: streamOf("data: a\n\ndata: b\n\n", 9), second: streamOf("data: a\n\ndata: b\n\n", -1), body: "data: a\n\n"},
		{name: "a comment before the cut", path: resumePath, first: streamOf(": ping\n\n"+lf, 8), second: streamOf(lf, -1), body: ": ping\n\n" + lf, complete: true},
		{name: "text instead of events", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: streamOf("internal error", -1), body: events(1, 2)},
		{name: "no event and no length", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: head(http.StatusOK, eventStream), body: events(1, 2)},
		{name: "all delivered, only the end is lost", path: resumePath, first: streamOf(lf, len(lf)), second: streamOf("", -1), body: lf, complete: true},
		{name: "ends in good form within an event", path: resumePath, first: streamOf(lf[:lengthUpTo(2)+3], -1), second: streamOf(events(3, streamSize), -1), body: lf, complete: true},
		{name: "ends in good form within an event, not resumable", path: streamPath, first: streamOf(lf[:lengthUpTo(2)+3], -1), body: events(1, 2)},
		{name: "has its whole length within an event", path: streamPath, first: head(http.StatusOK, eventStream+contentLength(lengthUpTo(2)+3)) + lf[:lengthUpTo(2)+3], body: events(1, 2)},
		{name: "ends with a comment", path: streamPath, first: streamOf(lf+": end", -1), body: lf + ": end", complete: true},
		{name: "encoded", path: resumePath, first: streamOf(lf, lengthUpTo(2)), second: strings.Replace(streamOf(events(3, streamSize), -1), eventStream, eventStream+"Content-Encoding: br\r\n", 1), body: events(1, 2)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newRawTestHandler(t, fixedAnswer(tc.first), fixedAnswer(tc.second))
			got := h.do(t, http.MethodPost, tc.path, "prompt", nil)
			test.Eq(t, http.StatusOK, got.status)
			test.Eq(t, tc.body, got.body)
			test.Eq(t, tc.complete, got.err == nil, test.Sprint(got.err))
		})
	}
}

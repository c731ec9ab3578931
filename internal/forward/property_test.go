package forward_test

import (
	"errors"
	"flag"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "21"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// drawnStream is a generated complete stream of events.
type drawnStream struct {
	events []string // with their ids from 1
	end    string   // line terminator
}

func drawStream(t *rapid.T) drawnStream {
	s := drawnStream{end: rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")}
	for i := range rapid.IntRange(1, 5).Draw(t, "events") {
		lines := []string{"id: " + strconv.Itoa(i+1)}
		for range rapid.IntRange(0, 2).Draw(t, "data lines") {
			lines = append(lines, rapid.SampledFrom([]string{"data: x", "data:", "data: id: 9", ": note", "event: e"}).Draw(t, "line"))
		}
		s.events = append(s.events, strings.Join(lines, s.end)+s.end+s.end)
	}
	return s
}

func (s drawnStream) text() string { return strings.Join(s.events, "") }

// eventsAfter returns the part of the stream after the event with the given id, or all of it if id is
// empty.
func (s drawnStream) eventsAfter(t *rapid.T, id string) string {
	if id == "" {
		return s.text()
	}
	n, err := strconv.Atoi(id)
	must.NoError(t, err)
	return strings.Join(s.events[n:], "")
}

// drawSecondAnswer generates the second endpoint's answer to the resumed request. A request that starts
// at the beginning gets the complete stream, since any other answer would also be valid there.
func (s drawnStream) drawSecondAnswer(t *rapid.T) script {
	kind := rapid.SampledFrom([]string{"right", "broken", "anew", "gap", "error", "plain", "refused", "text", "unnamed"}).Draw(t, "second")
	cut := rapid.IntRange(0, len(s.text())).Draw(t, "second cut")
	return script{answer: func(r *http.Request) string {
		id := r.Header.Get("Last-Event-Id")
		right := s.eventsAfter(t, id)
		if id == "" || kind == "right" {
			return streamOf(right, -1)
		}
		switch kind {
		case "broken":
			return streamOf(right, min(cut, len(right)))
		case "anew":
			return streamOf(s.text(), -1)
		case "gap":
			n, _ := strconv.Atoi(id) // a valid id: it comes from this stream
			return streamOf("id: "+strconv.Itoa(n+2)+s.end+"data: z"+s.end+s.end, -1)
		case "error":
			return head(http.StatusInternalServerError, contentLength(3)) + "no\n"
		case "plain":
			return head(http.StatusOK, contentLength(3)) + "ok\n"
		case "refused":
			return head(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"+contentLength(0))
		case "text":
			return streamOf("sorry", -1)
		default:
			return streamOf("data: z"+s.end+s.end+right, -1)
		}
	}}
}

// TestCallerGetsAPrefix checks, for streams that break off at any byte and any answer of the second
// endpoint, that the caller receives a prefix of the complete stream, and a regular end only with all
// of it.
func TestCallerGetsAPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawStream(rt)
		want := s.text()
		first := fixedAnswer(streamOf(want, rapid.IntRange(-1, len(want)).Draw(rt, "cut")))
		h := newRawTestHandler(t, first, s.drawSecondAnswer(rt))
		got := h.do(t, http.MethodPost, resumePath, "prompt", nil)
		must.Eq(rt, http.StatusOK, got.status)
		must.StrHasPrefix(rt, got.body, want)
		if got.err == nil {
			must.Eq(rt, want, got.body)
		}
	})
}

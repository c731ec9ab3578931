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

// TestMain fixes the seed of the properties unless a flag asks for another.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "21"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// drawnStream is a true stream, and how it is written.
type drawnStream struct {
	events []string // with their ids from 1
	end    string   // of each line
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

// after is the rest of the stream behind the event of an id, "" for all of it.
func (s drawnStream) after(t *rapid.T, id string) string {
	if id == "" {
		return s.text()
	}
	n, err := strconv.Atoi(id)
	must.NoError(t, err)
	return strings.Join(s.events[n:], "")
}

// drawSecond draws what the second endpoint answers to a request to go on. From the beginning
// any answer is one endpoint's own, so there it gives the true one.
func (s drawnStream) drawSecond(t *rapid.T) script {
	kind := rapid.SampledFrom([]string{"right", "broken", "anew", "gap", "error", "plain", "refused", "text", "unnamed"}).Draw(t, "second")
	cut := rapid.IntRange(0, len(s.text())).Draw(t, "second cut")
	return script{answer: func(r *http.Request) string {
		id := r.Header.Get("Last-Event-Id")
		right := s.after(t, id)
		if id == "" || kind == "right" {
			return streamOf(right, -1)
		}
		switch kind {
		case "broken":
			return streamOf(right, min(cut, len(right)))
		case "anew":
			return streamOf(s.text(), -1)
		case "gap":
			n, _ := strconv.Atoi(id) // it is one of this stream's
			return streamOf("id: "+strconv.Itoa(n+2)+s.end+"data: z"+s.end+s.end, -1)
		case "error":
			return head(http.StatusInternalServerError, ofLength(3)) + "no\n"
		case "plain":
			return head(http.StatusOK, ofLength(3)) + "ok\n"
		case "refused":
			return head(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"+ofLength(0))
		case "text":
			return streamOf("sorry", -1)
		default:
			return streamOf("data: z"+s.end+s.end+right, -1)
		}
	}}
}

// TestCallerGetsAPrefix: for any stream that breaks off at any byte, and any second endpoint's
// answer, a caller gets the beginning of the true stream, and a proper end only with all of it.
func TestCallerGetsAPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawStream(rt)
		want := s.text()
		first := says(streamOf(want, rapid.IntRange(-1, len(want)).Draw(rt, "cut")))
		w := newRawWorld(t, first, s.drawSecond(rt))
		got := w.do(t, http.MethodPost, resumePath, "prompt", nil)
		must.Eq(rt, http.StatusOK, got.status)
		must.StrHasPrefix(rt, got.body, want)
		if got.err == nil {
			must.Eq(rt, want, got.body)
		}
	})
}

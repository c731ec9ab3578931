package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
)

// script answers the requests on a connection with raw bytes. Unless keepAlive is set, the
// connection is closed after the first answer, or after the given number of them.
type script struct {
	answer    func(r *http.Request) string
	keepAlive bool
	answers   int
}

// fixedAnswer returns a script that always gives the same answer.
func fixedAnswer(answer string) script {
	return script{answer: func(*http.Request) string { return answer }}
}

// head returns the response header for request r1, with an endpoint signature. Each of the fields
// must end with "\r\n".
func head(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: r1\r\nX-Server-Seal: seal\r\n%s\r\n", status, http.StatusText(status), fields)
}

const (
	eventStream     = "Content-Type: text/event-stream\r\n"
	chunkedEncoding = "Transfer-Encoding: chunked\r\n"
	lastChunk       = "0\r\n\r\n"
)

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// chunk encodes a piece of a body as an HTTP chunk; an empty piece yields nothing.
func chunk(piece string) string {
	if piece == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
}

// streamOf returns an event stream answer. If cutAt is not negative, the body breaks off after that
// many bytes.
func streamOf(body string, cutAt int) string {
	if cutAt < 0 {
		return head(http.StatusOK, eventStream+chunkedEncoding) + chunk(body) + lastChunk
	}
	return head(http.StatusOK, eventStream+chunkedEncoding) + chunk(body[:cutAt])
}

// newRawTestHandler starts a handler in front of one endpoint for each script.
func newRawTestHandler(t testing.TB, scripts ...script) *testHandler {
	t.Helper()
	var addrs []string
	for _, s := range scripts {
		addrs = append(addrs, listen(t, s))
	}
	h := &testHandler{}
	h.start(t, addrs)
	return h
}

// listen serves a script on a local port and returns the address.
func listen(t testing.TB, s script) string { return answerheadtest.ServeConn(t, s.serve) }

func (s script) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for answered := 1; ; answered++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return // the client closed the connection
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, s.answer(r)); err != nil || !s.keepAlive && answered >= s.answers {
			return
		}
	}
}

// eventsWithLineEnd returns the events with ids from through to, with end as the line terminator.
func eventsWithLineEnd(from, to int, end string) string {
	return strings.ReplaceAll(events(from, to), "\n", end)
}

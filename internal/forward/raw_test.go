package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// script answers one request of a connection in the endpoint's own bytes. The connection
// is closed behind an answer that is not kept.
type script struct {
	answer func(r *http.Request) string
	kept   bool
}

// says is a script of a fixed answer.
func says(answer string) script {
	return script{answer: func(*http.Request) string { return answer }}
}

// head begins the answer to request r1 with a seal; fields end with "\r\n" each.
func head(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: r1\r\nX-Server-Seal: seal\r\n%s\r\n", status, http.StatusText(status), fields)
}

const (
	eventStream = "Content-Type: text/event-stream\r\n"
	isChunked   = "Transfer-Encoding: chunked\r\n"
	lastChunk   = "0\r\n\r\n"
)

func ofLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// chunk frames a piece of a body; an empty one is nothing.
func chunk(piece string) string {
	if piece == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
}

// streamOf is a whole answer of events; cutAt leaves it broken off behind so many bytes.
func streamOf(body string, cutAt int) string {
	if cutAt < 0 {
		return head(http.StatusOK, eventStream+isChunked) + chunk(body) + lastChunk
	}
	return head(http.StatusOK, eventStream+isChunked) + chunk(body[:cutAt])
}

// newRawWorld starts a handler before endpoints that answer by one script each.
func newRawWorld(t testing.TB, scripts ...script) *world {
	t.Helper()
	var addrs []string
	for _, s := range scripts {
		addrs = append(addrs, listen(t, s))
	}
	w := &world{}
	w.open(t, addrs)
	return w
}

// listen serves a script on each connection, and returns the address.
func listen(t testing.TB, s script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(conn)
		}
	}()
	return l.Addr().String()
}

func (s script) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return // the client closed the connection
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, s.answer(r)); err != nil || !s.kept {
			return
		}
	}
}

// numbered returns events with the ids from, from+1 ... to, their lines ended by end.
func numbered(from, to int, end string) string {
	return strings.ReplaceAll(events(from, to), "\n", end)
}

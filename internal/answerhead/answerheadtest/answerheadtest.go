// Package answerheadtest has endpoints that send raw bytes, among them malformed answers, for tests of what reads
// answers.
package answerheadtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// maxHeadBytes is more than any client reads of a head.
const maxHeadBytes = 1 << 20

// Malformed returns raw answers by what is wrong with them. Each holds body where a client that forgives that would
// find a body.
func Malformed(body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	whole := ok + "\r\n" + body
	return map[string]string{
		"status 000":              strings.Replace(whole, "200 OK", "000 Trouble", 1),
		"status 099":              strings.Replace(whole, "200 OK", "099 Trouble", 1),
		"status 000 before a 200": "HTTP/1.1 000 Trouble\r\n\r\n" + whole,
		"status 101":              strings.Replace(whole, "200 OK", "101 Switching Protocols", 1),
		"status 600":              strings.Replace(whole, "200 OK", "600 Trouble", 1),
		"other version":           strings.Replace(whole, "HTTP/1.1", "HTTP/9.9", 1),
		"blank in a name":         ok + "X Odd: 1\r\n\r\n" + body,
		"blank before the colon":  ok + "Content-Length : 1\r\n\r\n" + body,
		"control byte in a name":  ok + "X-\x01Odd: 1\r\n\r\n" + body,
		"folded line":             ok + "X-Odd: 1\r\n 2\r\n\r\n" + body,
		"chunks in HTTP/1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"too long":                ok + "X-Odd: " + strings.Repeat("1", maxHeadBytes) + "\r\n\r\n" + body,
		"cut within the head":     ok + "Content-Len",
	}
}

// Serve starts an endpoint that reads one request on each connection, sends text, and closes. It returns its address, as
// IP:PORT.
func Serve(t testing.TB, text string) string {
	t.Helper()
	return ServeConn(t, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return // the client closed the connection
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text) // fails if the client has read enough
	})
}

// ServeConn starts an endpoint that serves each connection by the given function and closes it then. It returns its address,
// as IP:PORT.
func ServeConn(t testing.TB, serve func(*net.TCPConn)) string {
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
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

package answerhead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
)

const (
	earlyRuns   = 20       // two goroutines compete for the error of the connection
	uploadBytes = 16 << 20 // more than the socket buffers of a connection hold
)

// TestTransportEndsEarlyAnswers guards against a part of an answer that passes for a whole one, where the endpoint answers
// a long upload at once without a length and breaks off, and against the loss of one that is whole.
func TestTransportEndsEarlyAnswers(t *testing.T) {
	tests := []struct {
		name string
		end  func(*net.TCPConn)
		ok   bool
	}{
		{name: "reset", end: func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{name: "closed with unread bytes", end: func(*net.TCPConn) {}},
		{name: "closed for writing, then reset", end: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.CopyN(io.Discard, conn, uploadBytes/4)
			_ = conn.SetLinger(0)
		}},
		{name: "closed for writing, and the request is read", ok: true, end: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for range earlyRuns {
				read := make(chan struct{})
				addr := answerheadtest.ServeConn(t, func(conn *net.TCPConn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					<-read
					tc.end(conn)
				})
				client := newClient()
				resp, err := client.Post("http://"+addr, "text/plain", strings.NewReader(strings.Repeat("x", uploadBytes)))
				must.NoError(t, err)
				close(read)
				body, err := io.ReadAll(resp.Body)
				must.Eq(t, tc.ok, err == nil, must.Sprint(err))
				must.Eq(t, "part", string(body))
				resp.Body.Close()
				client.CloseIdleConnections()
			}
		})
	}
}

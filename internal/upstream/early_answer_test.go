package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// earlyRuns is the number of times that an early answer is played, as two goroutines compete for the error of the connection.
const earlyRuns = 20

// uploadBytes is more than the socket buffers hold, so that the upload is still being written when the answer ends.
const uploadBytes = 16 << 20

// startEarly starts an endpoint that sends text before it has read the body of a request, and calls then.
func startEarly(t *testing.T, text string, then func(*net.TCPConn)) *Pool {
	t.Helper()
	return startEndpoint(t, func(conn *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		write(conn, text)
		then(conn)
	})
}

func upload(t *testing.T, p *Pool) *Answer {
	t.Helper()
	body := []byte(strings.Repeat("x", uploadBytes))
	a, err := p.Do(t.Context(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body}, acceptAny)
	must.NoError(t, err)
	return a
}

// TestUnsizedAnswerResetDuringUploadIsIncomplete guards against a reset that the goroutine which writes the request
// sees, while the body of an answer without a length seems to end normally.
func TestUnsizedAnswerResetDuringUploadIsIncomplete(t *testing.T) {
	const part = "part"
	tests := []struct {
		name, head string
		end        func(conn *net.TCPConn)
	}{
		{name: "reset", head: "HTTP/1.1 200 OK\r\n\r\n", end: func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{name: "reset, HTTP/1.0", head: "HTTP/1.0 200 OK\r\n\r\n", end: func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{name: "closed with unread bytes", head: "HTTP/1.1 200 OK\r\n\r\n", end: func(*net.TCPConn) {}},
		{name: "closed for writing, then reset", head: "HTTP/1.1 200 OK\r\n\r\n", end: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.CopyN(io.Discard, conn, uploadBytes/2)
			_ = conn.SetLinger(0)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for range earlyRuns {
				read := make(chan struct{})
				p := startEarly(t, tc.head+part, func(conn *net.TCPConn) {
					<-read
					tc.end(conn)
				})
				a := upload(t, p)
				begin := make([]byte, len(part))
				_, err := io.ReadFull(a.Body, begin)
				must.NoError(t, err)
				close(read)
				rest, err := io.ReadAll(a.Body)
				test.Eq(t, "", string(rest))
				must.Error(t, err)
				a.Done()
			}
		})
	}
}

// TestUnsizedEarlyAnswerIsCompleteOnceRequestWasTaken guards against sound endpoints losing their answers: they answer
// before they have read the request, close their direction of the connection, and read the rest.
func TestUnsizedEarlyAnswerIsCompleteOnceRequestWasTaken(t *testing.T) {
	for range earlyRuns {
		p := startEarly(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn) // until the client closes
		})
		a := upload(t, p)
		text, err := io.ReadAll(a.Body)
		must.NoError(t, err)
		must.Eq(t, "whole", string(text))
		a.Done()
		must.SliceEmpty(t, p.idle)
	}
}

// TestSizedEarlyAnswerIsCompleteThoughReset guards against answers that state their length being lost with the rest of
// the request.
func TestSizedEarlyAnswerIsCompleteThoughReset(t *testing.T) {
	for _, framed := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		received := make(chan struct{})
		p := startEarly(t, "HTTP/1.1 200 OK\r\n"+framed, func(conn *net.TCPConn) {
			<-received
			_ = conn.SetLinger(0)
		})
		a := upload(t, p)
		close(received)
		text, err := io.ReadAll(a.Body)
		must.NoError(t, err)
		must.Eq(t, "whole", string(text))
		a.Done()
		must.SliceEmpty(t, p.idle)
	}
}

// TestDiscardDoesNotWaitForUpload guards against a refusal without a length that holds its request until the whole
// body was written.
func TestDiscardDoesNotWaitForUpload(t *testing.T) {
	const within = 50 * time.Millisecond
	release := make(chan struct{})
	defer close(release)
	p := startEarly(t, "HTTP/1.1 503 Service Unavailable\r\n\r\nfull", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-release
	})
	ended := make(chan error, 1)
	a := upload(t, p)
	go func() { ended <- a.Discard(1<<10, within) }()
	select {
	case err := <-ended:
		must.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the answer was not discarded")
	}
	must.SliceEmpty(t, p.idle)
}

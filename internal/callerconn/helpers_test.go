package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/callerconn"
	"github.com/cherryward/cherryward/internal/hostplan"
)

const (
	headLimit = 16 << 10
	tooLarge  = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom    = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	awaitTimeout = 10 * time.Second
	ordinary     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// server is an HTTP server whose connections a guard bounds.
type server struct {
	t     testing.TB
	guard *callerconn.Guard
	pools callerconn.Pools
	addr  string
}

func defaultLimits() callerconn.Limits {
	return callerconn.Limits{
		Connections: 100, ReceiveBuffer: 8 << 10, SendBuffer: 8 << 10, HeadBytes: func() int { return headLimit },
	}
}

// startServer starts a server with room for headRoom bytes of large heads.
func startServer(t testing.TB, limits callerconn.Limits, headRoom int64, handler http.HandlerFunc) *server {
	s := &server{t: t, pools: callerconn.Pools{Heads: hostplan.NewPool(headRoom), Windows: hostplan.NewPool(1 << 20)}}
	refusals := callerconn.Refusals{TooLarge: []byte(tooLarge), NoRoom: []byte(noRoom)}
	s.guard = callerconn.New(limits, s.pools, refusals, zerolog.Nop())
	listener, err := s.guard.Listen("127.0.0.1:0")
	must.NoError(t, err)
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	h := &http.Server{Handler: s.guard.Handler(handler, refuse), ReadHeaderTimeout: awaitTimeout, MaxHeaderBytes: 64 << 10}
	s.guard.Attach(h)
	go func() { _ = h.Serve(listener) }() // ends with the server
	t.Cleanup(func() { _ = h.Close() })
	s.addr = listener.Addr().String()
	return s
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	t       testing.TB
	answers *bufio.Reader
}

func (s *server) dial() *caller {
	conn, err := net.Dial("tcp", s.addr)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(s.t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
	return &caller{conn, s.t, bufio.NewReader(conn)}
}

// send writes a text. The server may close the connection meanwhile.
func (c *caller) send(text string) *caller {
	_, _ = io.WriteString(c, text)
	return c
}

// status reads an answer and returns its status; 0 if the connection ended without one.
func (c *caller) status() int {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(c.t, err)
	return resp.StatusCode
}

// await waits until a condition holds.
func await(t testing.TB, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(awaitTimeout), wait.Gap(time.Millisecond)))
}

func answerOK(http.ResponseWriter, *http.Request) {}

// fields returns header lines of n bytes in all, each with a value of the given length.
func fields(n, value int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		line := fmt.Sprintf("a%x:%s\r\n", i, strings.Repeat("v", value))
		if rest := n - b.Len() - len(line); rest < len(line) && rest > 0 {
			line = strings.Replace(line, ":", ":"+strings.Repeat("v", rest), 1)
		}
		b.WriteString(line)
	}
	return b.String()
}

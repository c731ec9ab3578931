package callerconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/callerconn"
)

const (
	awaitTimeout = 10 * time.Second
	ordinary     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// server is an HTTP server whose connections a guard bounds.
type server struct {
	t     testing.TB
	guard *callerconn.Guard
	addr  string
}

func defaultLimits() callerconn.Limits { return callerconn.Limits{Connections: 100} }

func startServer(t testing.TB, limits callerconn.Limits, handler http.HandlerFunc) *server {
	s := &server{t: t, guard: callerconn.New(limits, zerolog.Nop())}
	listener, err := s.guard.Listen("127.0.0.1:0")
	must.NoError(t, err)
	h := &http.Server{Handler: s.guard.Handler(handler), ReadHeaderTimeout: awaitTimeout, MaxHeaderBytes: 64 << 10}
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

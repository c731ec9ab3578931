package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/hostplan"
)

// startEndpoint starts an endpoint that serves each connection with the given function until the
// test ends.
func startEndpoint(t *testing.T, serve func(conn *net.TCPConn, r *bufio.Reader)) *Pool {
	t.Helper()
	addr := answerheadtest.ServeConn(t, func(conn *net.TCPConn) { serve(conn, bufio.NewReader(conn)) })
	p := NewPool(addr, Options{})
	t.Cleanup(p.CloseIdle)
	return p
}

// write sends a text and ignores errors, as the client may have closed the connection.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// fixedAnswers reads requests and answers each with the same text.
func fixedAnswers(text string) func(*net.TCPConn, *bufio.Reader) {
	return func(conn *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return // the client closed the connection
			}
			write(conn, text)
		}
	}
}

func acceptAny(http.Header, bool) bool { return true }

func get(t *testing.T, p *Pool) *Answer {
	t.Helper()
	a, err := p.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"}, acceptAny)
	must.NoError(t, err)
	return a
}

func TestConnectionReuse(t *testing.T) {
	const withLength = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name   string
		answer string
		read   int64 // bytes of the body
		dials  int64 // for two requests
	}{
		{name: "read to its end", answer: withLength + "body", read: 5, dials: 1},
		{name: "no body", answer: "HTTP/1.1 204 No Content\r\n\r\n", read: 1, dials: 1},
		{name: "read in part, the rest has arrived", answer: withLength + "body", read: 2, dials: 2},
		{name: "read in part, the rest has not arrived", answer: withLength + "bo", read: 2, dials: 2},
		{name: "chunks read, but not the last", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", read: 2, dials: 2},
		{name: "bytes after the answer", answer: withLength + "body!", read: 5, dials: 2},
		{name: "states Connection: close", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", read: 1, dials: 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := startEndpoint(t, fixedAnswers(tc.answer))
			for range 2 {
				a := get(t, p)
				_, err := io.Copy(io.Discard, io.LimitReader(a.Body, tc.read))
				must.NoError(t, err)
				a.Done()
			}
			test.Eq(t, tc.dials, p.Dials())
		})
	}
}

// TestHeaderReadByteByByte checks that a header that arrives byte by byte is read correctly, after
// a 100 Continue and the answer to another request.
func TestHeaderReadByteByByte(t *testing.T) {
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"
	p := startEndpoint(t, func(conn *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		for i := range text {
			write(conn, text[i:i+1])
		}
	})
	own := func(h http.Header, _ bool) bool { return h.Get("X-Other") == "" }
	a, err := p.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"}, own)
	must.NoError(t, err)
	body, err := io.ReadAll(a.Body)
	must.NoError(t, err)
	test.Eq(t, "new", string(body))
	a.Done()
}

// TestCloseAndReset checks that an answer without a length ends normally when the connection is
// closed, and with an error when it is reset.
func TestCloseAndReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		read := make(chan struct{})
		p := startEndpoint(t, func(conn *net.TCPConn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			<-read
			if reset {
				_ = conn.SetLinger(0) // can't fail on an open connection
			}
		})
		a := get(t, p)
		must.True(t, a.CloseDelimited())
		part := make([]byte, len("part"))
		_, err := io.ReadFull(a.Body, part)
		must.NoError(t, err)
		close(read)
		_, err = io.ReadAll(a.Body)
		test.Eq(t, reset, err != nil)
		a.Done()
		test.SliceEmpty(t, p.idle)
	}
}

// TestEarlyAnswer checks that the answer of an endpoint that does not read the whole request body
// is returned, and that the connection is not kept: the endpoint would read the rest of the body as
// a request.
func TestEarlyAnswer(t *testing.T) {
	release := make(chan struct{})
	p := startEarly(t, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlong", func(*net.TCPConn) { <-release })
	defer close(release)
	a := upload(t, p)
	text, err := io.ReadAll(a.Body)
	must.NoError(t, err)
	test.Eq(t, "long", string(text))
	a.Done()
	test.SliceEmpty(t, p.idle)
}

// TestCloseDelimited checks for which answers only the closing of the connection marks the end.
func TestCloseDelimited(t *testing.T) {
	tests := []struct {
		method, answer string
		want           bool
	}{
		{http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", true},
		{http.MethodGet, "HTTP/1.0 200 OK\r\n\r\n", true},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", false},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
	}
	for _, tc := range tests {
		p := startEndpoint(t, fixedAnswers(tc.answer))
		a, err := p.Do(t.Context(), &Request{Method: tc.method, Target: "/", Host: "h"}, acceptAny)
		must.NoError(t, err)
		test.Eq(t, tc.want, a.CloseDelimited(), test.Sprintf("%s %q", tc.method, tc.answer))
		a.Abort()
	}
}

// TestContextCancelsExchange checks that an exchange ends with its context, and that the connection
// is not kept.
func TestContextCancelsExchange(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := startEndpoint(t, fixedAnswers("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"))
	a, err := p.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h"}, acceptAny)
	must.NoError(t, err)
	cancel()
	_, err = io.ReadAll(a.Body)
	must.True(t, errors.Is(err, net.ErrClosed), must.Sprint(err))
	a.Done()
	must.SliceEmpty(t, p.idle)
}

// TestIdleConnectionsTogetherAreBounded guards against idle connections to many endpoints that take a node's descriptors.
func TestIdleConnectionsTogetherAreBounded(t *testing.T) {
	const places = 2
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	idle := hostplan.NewPool(places)
	var pools []*Pool
	for range 2 * places {
		p := NewPool(l.Addr().String(), Options{Idle: idle})
		must.NoError(t, p.Probe(t.Context()))
		pools = append(pools, p)
	}
	must.Eq(t, places, idle.Used())
	must.True(t, pools[0].HasIdle(time.Now()))
	must.False(t, pools[places].HasIdle(time.Now()))
	for _, p := range pools {
		p.CloseIdle()
	}
	must.Zero(t, idle.Used())
}

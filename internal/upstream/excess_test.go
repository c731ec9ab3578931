package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// writeEndlessly writes a text again and again until the client closes the connection, and counts the bytes.
func writeEndlessly(conn net.Conn, text string, count *atomic.Int64) {
	block := strings.Repeat(text, 1+bufferBytes/len(text))
	for {
		n, err := conn.Write([]byte(block))
		count.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessHeadersEnd guards against endpoints that send without end what never becomes an answer's header.
func TestEndlessHeadersEnd(t *testing.T) {
	const (
		deadline = 20 * time.Second
		// accepted bounds what is received and what waits in the buffers of both sockets.
		accepted = 16 << 20
	)
	tests := []struct {
		name, first, repeated string
		part                  Part // empty if the answer is malformed
	}{
		{name: "garbage", repeated: "\x93\x00\xff&", part: PartHeader},
		{name: "lines of garbage", repeated: "\x93\x00\xff&\r\n"},
		{name: "status line", first: "HTTP/1.1 200 ", repeated: "O", part: PartHeader},
		{name: "header field", first: "HTTP/1.1 200 OK\r\nX-A: ", repeated: "a", part: PartHeader},
		{name: "header fields", first: "HTTP/1.1 200 OK\r\n", repeated: "X-A: a\r\n", part: PartHeader},
		{name: "continue", repeated: "HTTP/1.1 100 Continue\r\n\r\n", part: PartHeader},
		{name: "early hints", repeated: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n", part: PartHeader},
		{name: "answers to other requests", repeated: "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 1\r\n\r\nx", part: PartOtherAnswers},
		{name: "body of an answer to another request", first: "HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n", part: PartOtherAnswers},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var sent atomic.Int64
			p := startEndpoint(t, func(conn *net.TCPConn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				write(conn, tc.first)
				writeEndlessly(conn, tc.repeated, &sent)
			})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			own := func(h http.Header, _ bool) bool { return h.Get("X-Other") == "" }
			_, err := p.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h"}, own)
			must.Error(t, err)
			must.NoError(t, ctx.Err())
			var excess *ExcessError
			must.Eq(t, tc.part != "", errors.As(err, &excess))
			if excess != nil {
				test.Eq(t, tc.part, excess.Part)
			}
			test.Less(t, accepted, sent.Load())
		})
	}
}

// TestIdleConnectionsThatReceiveBytesAreClosed guards against endpoints that fill a host's memory through connections
// which no request uses.
func TestIdleConnectionsThatReceiveBytesAreClosed(t *testing.T) {
	sendRest := make(chan struct{})
	var connections, sent atomic.Int64
	p := startEndpoint(t, func(conn *net.TCPConn, r *bufio.Reader) {
		first := connections.Add(1) == 1
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if first {
				<-sendRest
				writeEndlessly(conn, "x", &sent)
				return
			}
		}
	})
	answers := []*Answer{get(t, p), get(t, p), get(t, p)}
	for _, a := range answers {
		_, err := io.Copy(io.Discard, a.Body)
		must.NoError(t, err)
		a.Done()
	}
	p.CloseUnusable()
	must.Len(t, 3, p.idle)
	close(sendRest)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		p.CloseUnusable()
		return len(p.idle) == 2
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	p.idle[0].reusableUntil = time.Now()
	p.CloseUnusable()
	must.Len(t, 1, p.idle)
	must.Eq(t, 3, p.Dials())
}

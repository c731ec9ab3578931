package callerconn_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkKeptConnection measures a request on a kept connection, with and without a guard.
func BenchmarkKeptConnection(b *testing.B) {
	request := []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer k\r\n\r\n")
	run := func(b *testing.B, addr string) {
		conn, err := net.Dial("tcp", addr)
		must.NoError(b, err)
		defer conn.Close()
		answer := make([]byte, 4<<10)
		b.ReportAllocs()
		for b.Loop() {
			_, err := conn.Write(request)
			must.NoError(b, err)
			_, err = conn.Read(answer)
			must.NoError(b, err)
		}
	}
	b.Run("guarded", func(b *testing.B) {
		run(b, startServer(b, defaultLimits(), ample, answerOK).addr)
	})
	b.Run("plain", func(b *testing.B) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(b, err)
		server := &http.Server{Handler: http.HandlerFunc(answerOK), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }() // ends with the server
		defer server.Close()
		run(b, listener.Addr().String())
	})
}

package answerhead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
)

func newClient() *http.Client {
	return &http.Client{Transport: answerhead.NewTransport(&http.Transport{})}
}

func TestTransportRefusesMalformedAnswers(t *testing.T) {
	for name, text := range answerheadtest.Malformed("body") {
		t.Run(name, func(t *testing.T) {
			client := newClient()
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + answerheadtest.Serve(t, text))
			if err == nil {
				resp.Body.Close()
			}
			must.Error(t, err)
		})
	}
}

// TestTransportChecksEachAnswerOfConnection guards against a connection whose later answers are not checked, or whose
// bodies are.
func TestTransportChecksEachAnswerOfConnection(t *testing.T) {
	answers := []string{
		"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n\x00\x01: \r",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nX \x00:\n\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\n12345",
	}
	connections := 0
	addr := answerheadtest.ServeConn(t, func(conn *net.TCPConn) {
		connections++
		r := bufio.NewReader(conn)
		for _, answer := range answers {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, answer)
		}
	})
	client := newClient()
	defer client.CloseIdleConnections()
	for i, want := range []string{"\x00\x01: \r", "X \x00:\n", "", ""} {
		resp, err := client.Post("http://"+addr, "text/plain", io.NopCloser(strings.NewReader("x")))
		if i == len(answers)-1 {
			must.Error(t, err)
			break
		}
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, want, string(body))
		resp.Body.Close()
	}
	must.Eq(t, 1, connections)
}

// TestTransportKeepsConnections guards against bounds for one request that add up over all requests of a connection.
func TestTransportKeepsConnections(t *testing.T) {
	const requests = 1000
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := newClient()
	defer client.CloseIdleConnections()
	for range requests {
		resp, err := client.Get(server.URL)
		must.NoError(t, err)
		resp.Body.Close()
	}
	must.Eq(t, 1, connections.Load())
}

// TestTransportServesTLS guards against the bytes of another protocol being taken for heads.
func TestTransportServesTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }))
	defer server.Close()
	client := &http.Client{Transport: answerhead.NewTransport(server.Client().Transport.(*http.Transport))}
	for range 2 {
		resp, err := client.Get(server.URL)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "body", string(body))
		resp.Body.Close()
	}
}

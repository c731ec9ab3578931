package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestHalfRequestIsAnswered guards against callers that send a part of a body, wait, and are never answered.
func TestHalfRequestIsAnswered(t *testing.T) {
	const timeout = 200 * time.Millisecond
	tests := []struct {
		name, fields, part string
		path, key          string
		status             int
	}{
		{name: "body with a length", fields: "Content-Length: 9\r\n", part: "half", path: uploadPath, key: key, status: http.StatusRequestTimeout},
		{name: "body in chunks", fields: "Transfer-Encoding: chunked\r\n", part: "4\r\nhalf\r\n", path: uploadPath, key: key, status: http.StatusRequestTimeout},
		{name: "trailer", fields: "Transfer-Encoding: chunked\r\n", part: "4\r\nhalf\r\n0\r\nX-Sum: ", path: uploadPath, key: key, status: http.StatusRequestTimeout},
		{name: "nothing of the body", fields: "Content-Length: 9\r\n", path: uploadPath, key: key, status: http.StatusRequestTimeout},
		{name: "refused before the body is read", fields: "Content-Length: 9\r\n", part: "half", path: uploadPath, key: "unknown", status: http.StatusUnauthorized},
		{name: "unknown path", fields: "Content-Length: 9\r\n", part: "half", path: "/nowhere/", key: key, status: http.StatusNotFound},
		{name: "too large", fields: fmt.Sprintf("Content-Length: %d\r\n", maxBody+1), part: "half", path: uploadPath, key: key, status: http.StatusRequestEntityTooLarge},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, "")
			for i := range h.state.config.Routes {
				h.state.config.Routes[i].Timeout = timeout
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(h.server.URL, "http://"))
			must.NoError(t, err)
			defer conn.Close()
			must.NoError(t, conn.SetDeadline(time.Now().Add(longTimeout)))
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: r1\r\n%s\r\n%s", tc.path, host, tc.key, tc.fields, tc.part)
			must.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			test.Eq(t, tc.status, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
			must.NoError(t, err)
			_, err = conn.Read(make([]byte, 1))
			test.ErrorIs(t, err, io.EOF, test.Sprint("the connection is closed"))
			test.SliceEmpty(t, h.servers[0].Runs())
		})
	}
}

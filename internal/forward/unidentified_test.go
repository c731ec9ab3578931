package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestAnswerWithoutIDOnReusedConnection guards against late bytes that pass for a refusal of the next request on their
// connection, which then runs at two endpoints.
func TestAnswerWithoutIDOnReusedConnection(t *testing.T) {
	const stray = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	whole := head(http.StatusOK, contentLength(2)) + "ok"
	tests := []struct {
		name   string
		second string // answer to the second request of a connection
		status int
		others int64 // requests that another endpoint gets
		ends   bool  // the connection ends after it
	}{
		{name: "before the answer", second: stray + whole, status: http.StatusOK},
		{name: "before a refusal", second: stray + head(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"+contentLength(0)), status: http.StatusOK, others: 1},
		{name: "three", second: stray + stray + stray + whole, status: http.StatusBadGateway},
		{name: "and the connection ends", second: stray, status: http.StatusBadGateway, ends: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var others atomic.Int64
			requests := 0
			first := script{keepAlive: !tc.ends, answers: 2, answer: func(*http.Request) string {
				requests++
				if requests == 1 {
					return whole
				}
				return tc.second
			}}
			second := script{answer: func(*http.Request) string {
				others.Add(1)
				return whole
			}}
			h := newRawTestHandler(t, first, second)
			must.Eq(t, http.StatusOK, h.do(t, http.MethodPost, uploadPath, "body", nil).status)
			test.Eq(t, tc.status, h.do(t, http.MethodPost, uploadPath, "body", nil).status)
			test.Eq(t, tc.others, others.Load())
		})
	}
}

package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestWithdrawsNoAnswerThatComes leaves an endpoint alone whose plain answer is on its way by the
// time at which its weights are too old: it has begun, and a request that can't be repeated would
// be lost.
func TestWithdrawsNoAnswerThatComes(t *testing.T) {
	const within = 200 * time.Millisecond
	for _, path := range []string{recordPath, uploadPath} {
		t.Run(path, func(t *testing.T) {
			back := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				rw.Header().Set("X-Attempt-Id", "r1")
				rw.Header().Set("X-Server-Seal", "seal")
				rw.Header().Set("X-Weight-Versions", "1")
				_, _ = io.WriteString(rw, "half ")
				_ = http.NewResponseController(rw).Flush()
				select {
				case <-r.Context().Done():
				case <-time.After(3 * within):
					_, _ = io.WriteString(rw, "whole")
				}
			}))
			defer back.Close()
			w := &world{}
			w.open(t, []string{strings.TrimPrefix(back.URL, "http://")})
			w.order.beginWithin = within
			got := w.do(t, http.MethodPost, path, "prompt", nil)
			test.Eq(t, http.StatusOK, got.status)
			test.Eq(t, "half whole", got.body)
		})
	}
}

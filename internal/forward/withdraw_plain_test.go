package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// TestPlainAnswerInProgressNotWithdrawn checks that a plain answer in progress is not withdrawn
// when the endpoint's weights become too old: the endpoint has begun the request, and one that
// can't be repeated would be lost.
func TestPlainAnswerInProgressNotWithdrawn(t *testing.T) {
	const within = 200 * time.Millisecond
	for _, path := range []string{recordPath, uploadPath} {
		t.Run(path, func(t *testing.T) {
			backend := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
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
			defer backend.Close()
			h := &testHandler{}
			h.start(t, []string{strings.TrimPrefix(backend.URL, "http://")})
			h.placer.beginWithin = within
			got := h.do(t, http.MethodPost, path, "prompt", nil)
			test.Eq(t, http.StatusOK, got.status)
			test.Eq(t, "half whole", got.body)
		})
	}
}

// TestSuccessAfterAWithdrawal checks that a success counts for the endpoint's health even if the
// request was withdrawn from another endpoint before.
func TestSuccessAfterAWithdrawal(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	good := modelserver.New(modelserver.Config{ID: serverID(1), Service: "servers"})
	backend := httptest.NewServer(good.Handler())
	defer backend.Close()
	h := &testHandler{}
	h.start(t, []string{strings.TrimPrefix(silent.URL, "http://"), strings.TrimPrefix(backend.URL, "http://")})
	h.placer.beginWithin = 100 * time.Millisecond
	health := &h.placer.members[1].Health
	now := time.Now()
	health.RecordFailure(now, false)
	before := health.FailureRate(now)
	got := h.do(t, http.MethodGet, recordPath, "", nil)
	must.Eq(t, http.StatusOK, got.status)
	test.Less(t, before, health.FailureRate(now))
	test.Eq(t, 0, h.placer.members[0].Health.FailureRate(now), test.Sprint("a withdrawal is no failure of the endpoint"))
}

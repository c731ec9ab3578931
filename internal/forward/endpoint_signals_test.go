package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// TestOnlySuccessRemovesLimit checks that only a success without a limit header removes a recorded
// limit; an error, a refusal or an unreadable limit does not.
func TestOnlySuccessRemovesLimit(t *testing.T) {
	h := newTestHandler(t, "")
	signals := h.placer.members[0].Signals
	limitAfter := func(f modelserver.Faults) (limited bool) {
		h.servers[0].SetFaults(f)
		h.do(t, http.MethodGet, recordPath, "", nil)
		limit, known := signals.RateLimit()
		return known && limit.InForce
	}
	test.False(t, limitAfter(modelserver.Faults{}))
	test.True(t, limitAfter(modelserver.Faults{Limit: "2.5"}))
	test.True(t, limitAfter(modelserver.Faults{Status: http.StatusInternalServerError}))
	test.True(t, limitAfter(modelserver.Faults{RejectRequests: true}))
	test.True(t, limitAfter(modelserver.Faults{UnconfirmedError: true}))
	test.True(t, limitAfter(modelserver.Faults{Limit: "many"}))
	test.False(t, limitAfter(modelserver.Faults{}))
	test.True(t, limitAfter(modelserver.Faults{RejectRequests: true, Limit: "1"}), test.Sprint("limit stated in a refusal"))
}

// TestSignalsOfOtherEndpointIgnored checks that a refusal by another endpoint at the same address
// does not change the signals recorded for the expected one.
func TestSignalsOfOtherEndpointIgnored(t *testing.T) {
	h := newTestHandler(t, "", "")
	h.servers[0].SetFaults(modelserver.Faults{Draining: "1", Limit: "1"})
	m := h.placer.members[0]
	h.placer.members = h.placer.members[:1]
	h.do(t, http.MethodGet, recordPath, "", func(r *http.Request) { r.Header.Set("X-Attempt-Id", "r2") })
	_, draining := m.Signals.Draining()
	test.True(t, draining)

	server := modelserver.New(modelserver.Config{ID: "another", Service: "servers"})
	server.SetFaults(modelserver.Faults{Draining: "1", Limit: "1"})
	backend := httptest.NewServer(server.Handler())
	defer backend.Close()
	misdirected := &testHandler{}
	misdirected.start(t, []string{strings.TrimPrefix(backend.URL, "http://")})
	a := misdirected.do(t, http.MethodGet, recordPath, "", nil)
	test.NotEq(t, http.StatusOK, a.status)
	signals := misdirected.placer.members[0].Signals
	_, limited := signals.RateLimit()
	_, draining = signals.Draining()
	test.False(t, limited || draining)
}

// TestRetryAfterSetsBackoff checks that a readable Retry-After in a refusal sets a backoff, and
// that the backoff is capped.
func TestRetryAfterSetsBackoff(t *testing.T) {
	h := newTestHandler(t, "")
	signals := h.placer.members[0].Signals
	for _, after := range []string{"soon", "-3", "NaN", ""} {
		h.servers[0].SetFaults(modelserver.Faults{RejectRequests: true, RetryAfter: after})
		h.do(t, http.MethodGet, recordPath, "", nil)
		_, backsOff := signals.Backoff(time.Now())
		test.False(t, backsOff, test.Sprint(after))
	}
	h.servers[0].SetFaults(modelserver.Faults{RejectRequests: true, RetryAfter: "1e300"})
	h.do(t, http.MethodGet, recordPath, "", nil)
	_, backsOff := signals.Backoff(time.Now().Add(9 * time.Minute))
	test.True(t, backsOff)
	_, backsOff = signals.Backoff(time.Now().Add(11 * time.Minute))
	test.False(t, backsOff, test.Sprint("the backoff is capped"))
}

package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/standin/modelserver"
)

const model = "m"

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestForwardsUnchanged(t *testing.T) {
	h := newTestHandler(t, "")
	got := h.do(t, http.MethodPost, uploadPath+"?x=%2f&y", "the body", func(r *http.Request) {
		r.Header.Set("X-Custom", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "dropped")
		r.Header.Add("Connection", "x-attempt-id , X-Model,Last-Event-Id,X-Tenant,X-Expect-Instance")
		r.Header.Set("X-Model", "the model")
		r.Header.Set("Last-Event-Id", "3")
		for _, name := range []string{"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Cache-Salt", "X-Kv-Source", "X-Kv-Target"} {
			r.Header.Set(name, "forged")
		}
	})
	must.Eq(t, http.StatusOK, got.status)
	test.Eq(t, "s0 answers r1", got.body)
	test.Eq(t, "seal-s0", got.header.Get("X-Server-Seal"))
	runs := h.servers[0].Runs()
	must.Len(t, 1, runs)
	run := runs[0]
	test.Eq(t, uploadPath+"?x=%2f&y", run.Target)
	test.Eq(t, "the body", run.Body)
	test.Eq(t, "kept", run.Header.Get("X-Custom"))
	test.Eq(t, "r1", run.Header.Get("X-Attempt-Id"))
	test.Eq(t, "the model", run.Header.Get("X-Model"))
	test.Eq(t, "3", run.Header.Get("Last-Event-Id"))
	test.Eq(t, "yard", run.Header.Get("X-Tenant"))
	test.Eq(t, "s0", run.Header.Get("X-Expect-Instance"))
	for _, name := range []string{"X-Hop", "Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Cache-Salt", "X-Kv-Source", "X-Kv-Target"} {
		test.Eq(t, "", run.Header.Get(name), test.Sprint(name))
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		body   string
		age    time.Duration
		change func(*http.Request)
		status int
	}{
		{name: "unknown path", path: "/nowhere/a", status: http.StatusNotFound},
		{name: "no key", path: recordPath, change: func(r *http.Request) { r.Header.Del("Authorization") }, status: http.StatusUnauthorized},
		{name: "unknown key", path: recordPath, change: func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }, status: http.StatusUnauthorized},
		{name: "long header", path: recordPath, change: func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", maxHeader)) }, status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "long body", path: uploadPath, body: strings.Repeat("x", maxBody+1), status: http.StatusRequestEntityTooLarge},
		{name: "stale key", path: recordPath, age: 4800 * time.Millisecond, status: http.StatusServiceUnavailable},
		{name: "unknown path, stale", path: "/nowhere/a", age: 3 * time.Second, status: http.StatusServiceUnavailable},
		{name: "unknown key, stale", path: recordPath, age: 3 * time.Second, change: func(r *http.Request) { r.Header.Set("Authorization", "Bearer new") }, status: http.StatusServiceUnavailable},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, "")
			h.state.age = tc.age
			method := http.MethodGet
			if tc.body != "" {
				method = http.MethodPost
			}
			got := h.do(t, method, tc.path, tc.body, tc.change)
			test.Eq(t, tc.status, got.status)
			test.Eq(t, tc.status == http.StatusServiceUnavailable, got.header.Get("Retry-After") != "")
			test.Len(t, 0, h.servers[0].Runs())
		})
	}
}

// TestStaleKeys checks that known keys are still accepted during an outage of the store if the
// operators allow it, and that a request with an unknown key is answered 503, not 401.
func TestStaleKeys(t *testing.T) {
	h := newTestHandler(t, "")
	h.bounds.AcceptStaleKeys = true
	h.state.age = time.Minute
	test.Eq(t, http.StatusOK, h.do(t, http.MethodGet, recordPath, "", nil).status)
	unknown := func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }
	test.Eq(t, http.StatusServiceUnavailable, h.do(t, http.MethodGet, recordPath, "", unknown).status)
	test.Len(t, 1, h.servers[0].Runs())
}

func TestNoConfiguration(t *testing.T) {
	h := newTestHandler(t, "")
	h.state.config = nil
	test.Eq(t, http.StatusServiceUnavailable, h.do(t, http.MethodGet, recordPath, "", nil).status)
}

// TestSentAgain checks after which failures of the first server a request is sent to the second
// one.
func TestSentAgain(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		faults modelserver.Faults
		status int
		second int // runs at the second server
	}{
		{name: "upload refused as not run", path: uploadPath, faults: modelserver.Faults{RejectRequests: true}, status: http.StatusOK, second: 1},
		{name: "upload whose answer is lost", path: uploadPath, faults: modelserver.Faults{LoseResponse: true}, status: http.StatusBadGateway},
		{name: "upload answered 503 without proof", path: uploadPath, faults: modelserver.Faults{UnconfirmedError: true}, status: http.StatusBadGateway},
		{name: "lookup whose answer is lost", path: recordPath, faults: modelserver.Faults{LoseResponse: true}, status: http.StatusOK, second: 1},
		{name: "lookup answered by an error", path: recordPath, faults: modelserver.Faults{Status: http.StatusInternalServerError}, status: http.StatusOK, second: 1},
		{name: "upload answered by an error", path: uploadPath, faults: modelserver.Faults{Status: http.StatusInternalServerError}, status: http.StatusInternalServerError},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, "", "")
			h.servers[0].SetFaults(tc.faults)
			test.Eq(t, tc.status, h.do(t, http.MethodGet, tc.path, "", nil).status)
			test.Len(t, tc.second, h.servers[1].Runs())
		})
	}
}

// TestAllRefuse checks that a request refused by all endpoints is answered with a status that
// promises that it has not run.
func TestAllRefuse(t *testing.T) {
	h := newTestHandler(t, "", "")
	for _, s := range h.servers {
		s.SetFaults(modelserver.Faults{RejectRequests: true})
	}
	got := h.do(t, http.MethodGet, uploadPath, "", nil)
	test.Eq(t, http.StatusServiceUnavailable, got.status)
	test.NotEq(t, "", got.header.Get("Retry-After"))
}

func TestForeignAnswers(t *testing.T) {
	for _, faults := range []modelserver.Faults{{ResponseOfOtherBefore: true}, {ResponseOfOtherAfter: true}} {
		h := newTestHandler(t, "")
		h.servers[0].SetFaults(faults)
		for i := range 3 {
			got := h.do(t, http.MethodGet, uploadPath, "", func(r *http.Request) { r.Header.Set("X-Attempt-Id", fmt.Sprint("r", i)) })
			test.Eq(t, http.StatusOK, got.status)
			test.Eq(t, fmt.Sprint("s0 answers r", i), got.body)
		}
	}
}

func TestStreams(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		faults   modelserver.Faults
		want     string
		complete bool
		second   int
	}{
		{name: "whole", path: streamPath, want: events(1, streamSize), complete: true},
		{name: "cut, not resumable", path: streamPath, faults: modelserver.Faults{CutAfter: 2}, want: events(1, 2)},
		{name: "cut, resumed", path: resumePath, faults: modelserver.Faults{CutAfter: 2}, want: events(1, streamSize), complete: true, second: 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, model, model)
			h.servers[0].SetFaults(tc.faults)
			got := h.do(t, http.MethodPost, tc.path, "prompt", nil)
			test.Eq(t, http.StatusOK, got.status)
			test.Eq(t, "seal-s0", got.header.Get("X-Server-Seal"))
			test.Eq(t, tc.want, got.body)
			test.Eq(t, tc.complete, got.err == nil)
			runs := h.servers[1].Runs()
			must.Len(t, tc.second, runs)
			if tc.second > 0 {
				test.Eq(t, "2", runs[0].Header.Get("Last-Event-Id"))
			}
		})
	}
}

func TestCallerLeaves(t *testing.T) {
	h := newTestHandler(t, model)
	h.servers[0].SetFaults(modelserver.Faults{Hang: true})
	left := make(chan struct{})
	go func() {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(h.servers[0].Runs()) == 1 }), wait.Timeout(longTimeout), wait.Gap(time.Millisecond)))
		close(left)
	}()
	h.doUntil(t, left, streamPath)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.servers[0].AbandonedRequests() == 1 }), wait.Timeout(longTimeout), wait.Gap(time.Millisecond)))
}

// TestUnbegunAttemptWithdrawn checks that a request is withdrawn from an endpoint that has not
// begun it by the time at which its weights become too old.
func TestUnbegunAttemptWithdrawn(t *testing.T) {
	tests := []struct {
		name       string
		path       string
		faults     modelserver.Faults
		beginLimit time.Duration
		status     int
		second     int // runs at the second server
	}{
		{name: "not begun, resumable", path: resumePath, faults: modelserver.Faults{Hang: true}, beginLimit: 20 * time.Millisecond, status: http.StatusOK, second: 1},
		{name: "not begun, not resumable", path: streamPath, faults: modelserver.Faults{Hang: true}, beginLimit: 20 * time.Millisecond, status: http.StatusBadGateway},
		{name: "begun in time", path: streamPath, beginLimit: longTimeout, status: http.StatusOK},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHandler(t, model, model)
			h.placer.beginWithin = tc.beginLimit
			h.servers[0].SetFaults(tc.faults)
			got := h.do(t, http.MethodPost, tc.path, "prompt", nil)
			test.Eq(t, tc.status, got.status)
			test.NoError(t, got.err)
			test.Len(t, tc.second, h.servers[1].Runs())
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.servers[0].AbandonedRequests() == 1 || !tc.faults.Hang }), wait.Timeout(longTimeout), wait.Gap(time.Millisecond)))
		})
	}
}

// TestTimeout checks that a request is answered at the caller's deadline, with a status that does
// not promise that it has not run.
func TestTimeout(t *testing.T) {
	h := newTestHandler(t, model)
	h.servers[0].SetFaults(modelserver.Faults{Hang: true})
	got := h.do(t, http.MethodGet, streamPath, "", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "50") })
	test.Eq(t, http.StatusGatewayTimeout, got.status)
	runs := h.servers[0].Runs()
	must.Len(t, 1, runs)
	test.LessEq(t, 2, len(runs[0].Header.Get("X-Deadline-Ms")))
}

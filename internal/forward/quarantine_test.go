package forward_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// exitPath is the path suffix of requests that make a server exit.
const exitPath = "/ends"

// newExitingTestHandler starts servers that exit on requests whose path ends with exitPath.
func newExitingTestHandler(t *testing.T, servers int) *testHandler {
	t.Helper()
	h := &testHandler{}
	var addrs []string
	for i := range servers {
		backend := httptest.NewUnstartedServer(nil)
		end := func() { _ = backend.Config.Close() }
		server := modelserver.New(modelserver.Config{ID: serverID(i), Service: "servers", Model: "reader", StreamEvents: streamSize, Crash: end})
		server.SetFaults(modelserver.Faults{CrashOnSuffix: exitPath})
		backend.Config.Handler = server.Handler()
		backend.Start()
		t.Cleanup(backend.Close)
		h.servers = append(h.servers, server)
		addrs = append(addrs, strings.TrimPrefix(backend.URL, "http://"))
	}
	h.start(t, addrs)
	return h
}

// serversThatRan returns the number of servers that ran requests whose id has the given prefix.
func (h *testHandler) serversThatRan(prefix string) (servers int) {
	for _, s := range h.servers {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.Request, prefix) {
				servers++
				break
			}
		}
	}
	return servers
}

// removeEnded removes the endpoints that have ended, as a registry does.
func (h *testHandler) removeEnded() {
	h.placer.members = slices.DeleteFunc(slices.Clone(h.placer.members), func(m *fleet.Member) bool { return m.Ended() })
}

// TestRequestThatEndsEndpoints checks that a request that makes engines exit reaches only a few of
// them.
//
// Without the quarantine, a caller that retries under new ids would make one engine after the other
// exit, until no engine is left for other requests. The log then shows the same fingerprint under
// many ids (event=run_lost, ended=true: a new connection to the engine was refused).
func TestRequestThatEndsEndpoints(t *testing.T) {
	const (
		servers = 8
		tries   = 12
	)
	h := newExitingTestHandler(t, servers)
	for i := range tries {
		id := fmt.Sprint("guilty-", i)
		resp, err := http.DefaultClient.Do(h.request(t, http.MethodPost, "/resume"+exitPath, "prompt", func(r *http.Request) { r.Header.Set("X-Attempt-Id", id) }))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		if h.serversThatRan(id) == 0 {
			test.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		}
		h.removeEnded()
	}
	test.Eq(t, 3, h.serversThatRan("guilty-"))
	must.SliceNotEmpty(t, h.placer.members)
	a := h.do(t, http.MethodPost, "/resume/other", "prompt", nil)
	test.Eq(t, http.StatusOK, a.status)
}

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

// newExitingTestHandler starts servers that exit on requests whose path ends with endsOn.
func newExitingTestHandler(t *testing.T, servers int) *testHandler {
	t.Helper()
	w := &testHandler{}
	var addrs []string
	for i := range servers {
		backend := httptest.NewUnstartedServer(nil)
		end := func() { _ = backend.Config.Close() }
		server := modelserver.New(modelserver.Config{ID: serverID(i), Service: "servers", Model: "reader", StreamEvents: streamSize, Crash: end})
		server.SetFaults(modelserver.Faults{CrashOnSuffix: exitPath})
		backend.Config.Handler = server.Handler()
		backend.Start()
		t.Cleanup(backend.Close)
		w.servers = append(w.servers, server)
		addrs = append(addrs, strings.TrimPrefix(backend.URL, "http://"))
	}
	w.open(t, addrs)
	return w
}

// ran returns the number of servers that ran requests whose id has the given prefix.
func (w *testHandler) ran(prefix string) (servers int) {
	for _, s := range w.servers {
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
func (w *testHandler) removeEnded() {
	w.placer.members = slices.DeleteFunc(slices.Clone(w.placer.members), func(m *fleet.Member) bool { return m.Ended() })
}

// TestRequestThatEndsEndpoints checks that a request that makes engines exit reaches only a few of
// them.
//
// It guards against a failure in which one prompt made each engine exit that began to run it, and
// its caller retried at once under another id. The node sent it to another engine, kept no record
// of it after answering, and sent it on to further engines and to those just restarted, so that
// callers of all requests repeatedly found no engine for seconds. The log then shows the same
// fingerprint for the runs lost with each engine, on all nodes and under many ids (event=run_lost,
// ended=true: a new connection to the engine was refused).
func TestRequestThatEndsEndpoints(t *testing.T) {
	const (
		servers = 8
		tries   = 12
	)
	w := newExitingTestHandler(t, servers)
	for i := range tries {
		id := fmt.Sprint("guilty-", i)
		resp, err := http.DefaultClient.Do(w.request(t, http.MethodPost, "/resume"+exitPath, "prompt", func(r *http.Request) { r.Header.Set("X-Attempt-Id", id) }))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		if w.ran(id) == 0 {
			test.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		}
		w.removeEnded()
	}
	test.Eq(t, 3, w.ran("guilty-"))
	must.SliceNotEmpty(t, w.placer.members)
	a := w.do(t, http.MethodPost, "/resume/other", "prompt", nil)
	test.Eq(t, http.StatusOK, a.status)
}

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

// endsOn is the end of the path of the request that ends endpoints.
const endsOn = "/ends"

// newEndingWorld starts servers that end with a request of that path.
func newEndingWorld(t *testing.T, servers int) *world {
	t.Helper()
	w := &world{}
	var addrs []string
	for i := range servers {
		back := httptest.NewUnstartedServer(nil)
		end := func() { _ = back.Config.Close() }
		server := modelserver.New(modelserver.Config{ID: serverID(i), Service: "servers", Model: "reader", Pieces: streamSize, End: end})
		server.SetFaults(modelserver.Faults{EndOn: endsOn})
		back.Config.Handler = server.Handler()
		back.Start()
		t.Cleanup(back.Close)
		w.servers = append(w.servers, server)
		addrs = append(addrs, strings.TrimPrefix(back.URL, "http://"))
	}
	w.open(t, addrs)
	return w
}

// ran returns how many servers ran requests whose id has a prefix.
func (w *world) ran(prefix string) (servers int) {
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

// forgetEnded leaves out the endpoints that ended, as a registry does.
func (w *world) forgetEnded() {
	w.order.members = slices.DeleteFunc(slices.Clone(w.order.members), func(m *fleet.Member) bool { return m.Ended() })
}

// TestRequestThatEndsEndpoints: callers of all kinds of requests found no engine for seconds, again
// and again. One prompt ended each engine that began to run it, and its caller came back at once
// with another id: the node tried it elsewhere, forgot it with its answer, and sent it on to the
// next engines and to those that had just started again.
//
// Evidence: the same fingerprint among the runs lost with each engine, at all nodes, under many ids;
// a connection opened behind each loss was refused (event=run_lost, ended=true).
func TestRequestThatEndsEndpoints(t *testing.T) {
	const (
		servers = 8
		tries   = 12
	)
	w := newEndingWorld(t, servers)
	for i := range tries {
		id := fmt.Sprint("guilty-", i)
		resp, err := http.DefaultClient.Do(w.request(t, http.MethodPost, "/resume"+endsOn, "prompt", func(r *http.Request) { r.Header.Set("X-Attempt-Id", id) }))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		if w.ran(id) == 0 {
			test.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		}
		w.forgetEnded()
	}
	test.Eq(t, 3, w.ran("guilty-"))
	must.SliceNotEmpty(t, w.order.members)
	a := w.do(t, http.MethodPost, "/resume/other", "prompt", nil)
	test.Eq(t, http.StatusOK, a.status)
}

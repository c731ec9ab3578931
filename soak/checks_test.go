package soak

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/site"
)

// TestChecksFind breaks each promise once, by requests that go to the server without a
// node, and wants the checks to find it.
func TestChecksFind(t *testing.T) {
	now := time.Now()
	tests := []struct {
		want    string
		prepare func(w *world)
		ids     []string
		tenant  string
		path    string // site.PathUpload if empty
	}{
		{want: "ran 2 times", ids: []string{"a", "a"}, tenant: site.Account},
		{want: "no client sent it", ids: []string{"unknown"}, tenant: site.Account},
		{want: "under another account", ids: []string{"a"}, tenant: "other"},
		{want: "ran as GET /other/", ids: []string{"a"}, tenant: site.Account, path: "/other/"},
		{want: "told that it did not", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) { w.seen.refused["a"] = true }},
		{want: "key that was taken away", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) { w.revoked["k"] = now.Add(-revokeBound - time.Second) }},
		{want: "weights that were replaced", ids: []string{"a"}, tenant: site.Account, prepare: replacedWeights(now)},
		{want: "", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) {
			replacedWeights(now)(w)
			w.core.open()
		}},
		{want: "", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) {
			replacedWeights(now)(w)
			w.nodes[0].harmed.open()()
		}},
		{want: "", ids: []string{"a"}, tenant: site.Account},
	}
	for _, tc := range tests {
		var direct string
		s, err := site.Start(site.Config{Beat: time.Second, Proxy: func(addr string) (string, error) {
			direct = addr // the last one is the plain server's
			return addr, nil
		}})
		must.NoError(t, err)
		w := &world{site: s, seen: newSeen(), revoked: make(map[string]time.Time), nodes: []*process{{}}}
		w.seen.sent["a"] = sentWith{key: "k", method: http.MethodGet, target: site.PathUpload + "x", at: now}
		if tc.prepare != nil {
			tc.prepare(w)
		}
		for _, id := range tc.ids {
			req, err := site.Request(context.Background(), direct, http.MethodGet, cmp.Or(tc.path, site.PathUpload)+"x", "k", id, "session")
			must.NoError(t, err)
			req.Header.Del("Authorization")
			req.Header.Set("X-Tenant", tc.tenant)
			resp, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body) // only the run counts
			resp.Body.Close()
		}
		test.StrContains(t, strings.Join(w.brokenPromises(), "\n"), tc.want)
		test.Eq(t, tc.want == "", len(w.brokenPromises()) == 0)
		s.Close()
	}
}

// newCalmWorld returns a site with one node of which nothing is known, and the servers' addresses in the
// order of the proxies.
func newCalmWorld(t *testing.T) (w *world, addrs []string) {
	t.Helper()
	s, err := site.Start(site.Config{Beat: time.Second, Proxy: func(addr string) (string, error) {
		addrs = append(addrs, addr)
		return addr, nil
	}})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return &world{site: s, seen: newSeen(), nodes: []*process{{}}, away: make([]spans, len(s.Models))}, addrs
}

// runAt has a model server run a request that no node sent on.
func runAt(t *testing.T, addr string) {
	t.Helper()
	runAtAs(t, addr, "a")
}

// runAtAs does so with a request of an id.
func runAtAs(t *testing.T, addr, id string) {
	t.Helper()
	req, err := site.Request(context.Background(), addr, http.MethodPost, site.PathQuery, "k", id, "session")
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	resp.Body.Close()
}

// TestRunsOfLeaversAreFound has a model server run a request after it left, with and
// without what excuses the node.
func TestRunsOfLeaversAreFound(t *testing.T) {
	long := span{from: time.Now().Add(-drainBound - time.Second)}
	tests := []struct {
		name   string
		away   span
		excuse func(w *world)
		want   int
	}{
		{"long gone", long, func(*world) {}, 1},
		{"just gone", span{from: time.Now()}, func(*world) {}, 0},
		{"back", span{from: long.from, to: time.Now()}, func(*world) {}, 0},
		{"store in trouble", long, func(w *world) { w.core.open()() }, 0},
		{"node in trouble", long, func(w *world) { w.nodes[0].harmed.open()() }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newCalmWorld(t)
			w.away[0].list = []*span{&tc.away}
			tc.excuse(w)
			runAt(t, addrs[modelProxy])
			test.Len(t, tc.want, w.ranAway(0))
		})
	}
}

// TestRunsInEvacuatedDomainsAreFound has the last model server run a request long after, and shortly
// after, its failure domain was evacuated, and with what excuses the node.
func TestRunsInEvacuatedDomainsAreFound(t *testing.T) {
	long := span{from: time.Now().Add(-evacuateBound - time.Second)}
	tests := []struct {
		name      string
		evacuated span
		excuse    func(w *world)
		want      int
	}{
		{"for long", long, func(*world) {}, 1},
		{"just now", span{from: time.Now()}, func(*world) {}, 0},
		{"taken back", span{from: long.from, to: time.Now()}, func(*world) {}, 0},
		{"store in trouble", long, func(w *world) { w.core.open()() }, 0},
		{"node in trouble", long, func(w *world) { w.nodes[0].harmed.open()() }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newCalmWorld(t)
			w.evacuated.list = []*span{&tc.evacuated}
			tc.excuse(w)
			runAt(t, addrs[modelProxy+len(w.site.Models)-1])
			test.Len(t, tc.want, w.ranEvacuated())
		})
	}
}

// replacedWeights names a version longer ago than the bound.
func replacedWeights(now time.Time) func(w *world) {
	return func(w *world) { w.named = []naming{{version: 2, at: now.Add(-versionBound - time.Second)}} }
}

// TestClientChecksFind gives a client answers that break promises.
func TestClientChecksFind(t *testing.T) {
	event := func(ids ...string) string {
		var b strings.Builder
		for _, id := range ids {
			b.WriteString("id: " + id + "\ndata: piece " + id + "\n\n")
		}
		return b.String()
	}
	whole := event("1", "2", "3", "4", "5", "6", "7", "8")
	const stream = "text/event-stream"
	tests := []struct {
		status             int
		kind, seal, body   string
		retryAfter, broken string
	}{
		{http.StatusOK, stream, "s", whole, "", ""},
		{http.StatusOK, stream, "s", event("1", "3"), "", `in place of "id: 2`},
		{http.StatusOK, stream, "s", event("1", "1"), "", `in place of "id: 2`},
		{http.StatusOK, stream, "s", event("1") + "id: 2\ndata: piece 3\n\n", "", `in place of "id: 2`},
		{http.StatusOK, stream, "s", whole + "id: 9\nda", "", "ended as whole"},
		{http.StatusOK, stream, "s", event("1", "2"), "", "ended as whole"},
		{http.StatusOK, "", "s", "plain-1 answers a", "", ""},
		{http.StatusOK, "", "s", "plain-1 answers b", "", "got the answer"},
		{http.StatusOK, "", "", "plain-1 answers a", "", "without a seal"},
		{http.StatusOK, "", "s of b", "plain-1 answers a", "", `got the answer to "b"`},
		{http.StatusServiceUnavailable, "", "", "", "1", ""},
		{http.StatusServiceUnavailable, "", "", "", "", "without Retry-After"},
	}
	for _, tc := range tests {
		c := &client{seen: newSeen()}
		header := http.Header{}
		header.Set("Content-Type", tc.kind)
		header.Set("X-Server-Seal", tc.seal)
		header.Set("X-Attempt-Id", "a")
		if _, other, found := strings.Cut(tc.seal, " of "); found {
			header.Set("X-Attempt-Id", other)
		}
		header.Set("Retry-After", tc.retryAfter)
		c.check("a", site.PathQuery, &http.Response{StatusCode: tc.status, Header: header, Body: io.NopCloser(strings.NewReader(tc.body))})
		test.StrContains(t, strings.Join(c.seen.failures, "\n"), tc.broken)
		test.Eq(t, tc.broken == "", len(c.seen.failures) == 0)
	}
}

// TestPromisesNotRun has a client remember each status that says that its request has not
// run.
func TestPromisesNotRun(t *testing.T) {
	for status, promises := range map[int]bool{503: true, 429: true, 408: true, 421: true, 502: false, 504: false, 500: false} {
		c := &client{seen: newSeen()}
		header := http.Header{}
		header.Set("Retry-After", "1")
		c.check("a", site.PathQuery, &http.Response{StatusCode: status, Header: header, Body: http.NoBody})
		test.Eq(t, promises, c.seen.refused["a"])
	}
}

package soak

import (
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
	}{
		{want: "ran 2 times", ids: []string{"a", "a"}, tenant: site.Account},
		{want: "no client sent it", ids: []string{"unknown"}, tenant: site.Account},
		{want: "under another account", ids: []string{"a"}, tenant: "other"},
		{want: "told that it did not", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) { w.seen.refused["a"] = true }},
		{want: "key that was taken away", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) { w.revoked["k"] = now.Add(-revokeBound - time.Second) }},
		{want: "", ids: []string{"a"}, tenant: site.Account},
	}
	for _, tc := range tests {
		var direct string
		s, err := site.Start(site.Config{Beat: time.Second, Proxy: func(addr string) (string, error) {
			direct = addr // the last one is the plain server's
			return addr, nil
		}})
		must.NoError(t, err)
		w := &world{site: s, seen: newSeen(), revoked: make(map[string]time.Time)}
		w.seen.sent["a"] = sentWith{key: "k", at: now}
		if tc.prepare != nil {
			tc.prepare(w)
		}
		for _, id := range tc.ids {
			req, err := site.Request(context.Background(), direct, http.MethodGet, site.PathUpload+"x", "k", id, "")
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

// TestClientChecksFind gives a client answers that break promises.
func TestClientChecksFind(t *testing.T) {
	event := func(ids ...string) string {
		var b strings.Builder
		for _, id := range ids {
			b.WriteString("id: " + id + "\ndata: x\n\n")
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
		{http.StatusOK, stream, "s", event("1", "3"), "", "in place of 2"},
		{http.StatusOK, stream, "s", event("1", "1"), "", "in place of 2"},
		{http.StatusOK, stream, "s", event("1", "2"), "", "ended as whole"},
		{http.StatusOK, "", "s", "plain-1 answers a", "", ""},
		{http.StatusOK, "", "s", "plain-1 answers b", "", "got the answer"},
		{http.StatusOK, "", "", "plain-1 answers a", "", "without a seal"},
		{http.StatusServiceUnavailable, "", "", "", "1", ""},
		{http.StatusServiceUnavailable, "", "", "", "", "without Retry-After"},
	}
	for _, tc := range tests {
		c := &client{seen: newSeen()}
		header := http.Header{}
		header.Set("Content-Type", tc.kind)
		header.Set("X-Server-Seal", tc.seal)
		header.Set("Retry-After", tc.retryAfter)
		c.check("a", site.PathQuery, &http.Response{StatusCode: tc.status, Header: header, Body: io.NopCloser(strings.NewReader(tc.body))})
		test.StrContains(t, strings.Join(c.seen.failures, "\n"), tc.broken)
		test.Eq(t, tc.broken == "", len(c.seen.failures) == 0)
	}
}

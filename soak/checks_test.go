package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/site"
)

// TestChecksDetectViolations violates each guarantee once, by requests that are sent to the server
// directly instead of through a node, and checks that the violation is detected.
func TestChecksDetectViolations(t *testing.T) {
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
		{want: "rejected as not run", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) { w.observed.refused["a"] = true }},
		{want: "revoked key", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) { w.revoked["k"] = now.Add(-w.bounds.Revoke - time.Second) }},
		{want: "weights replaced", ids: []string{"a"}, tenant: site.Account, prepare: replacedWeights(now)},
		{want: "", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) {
			replacedWeights(now)(w)
			w.storeDisturbances.open()
		}},
		{want: "", ids: []string{"a"}, tenant: site.Account, prepare: func(w *world) {
			replacedWeights(now)(w)
			w.nodes[0].disturbances.open()()
		}},
		{want: "", ids: []string{"a"}, tenant: site.Account},
	}
	for _, tc := range tests {
		var direct string
		s, err := site.Start(site.Config{HeartbeatInterval: time.Second, Proxy: func(addr string) (string, error) {
			direct = addr // the last address is that of the plain server
			return addr, nil
		}})
		must.NoError(t, err)
		w := &world{site: s, shape: small, bounds: small.bounds, observed: newObserved(), revoked: make(map[string]time.Time), nodes: []*process{{}}}
		w.observed.sent["a"] = sentRequest{key: "k", method: http.MethodGet, target: site.PathUpload + "x", at: now}
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
			_, _ = io.Copy(io.Discard, resp.Body) // only the recorded run is checked
			resp.Body.Close()
		}
		test.StrContains(t, strings.Join(w.violations(), "\n"), tc.want)
		test.Eq(t, tc.want == "", len(w.violations()) == 0)
		s.Close()
	}
}

// newIdleWorld returns a world with one node without a process, and the servers' addresses in the
// order of the proxies.
func newIdleWorld(t *testing.T) (w *world, addrs []string) {
	t.Helper()
	s, err := site.Start(site.Config{HeartbeatInterval: time.Second, Releases: small.releases(), Proxy: func(addr string) (string, error) {
		addrs = append(addrs, addr)
		return addr, nil
	}})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	w = &world{site: s, shape: small, bounds: small.bounds, observed: newObserved(), nodes: []*process{{}}}
	w.initPools()
	return w, addrs
}

// runAt sends a request with the id a directly to a model server.
func runAt(t *testing.T, addr string) {
	t.Helper()
	runAtAs(t, addr, "a")
}

// runAtAs sends a request with an id directly to a model server.
func runAtAs(t *testing.T, addr, id string) {
	t.Helper()
	req, err := site.Request(context.Background(), addr, http.MethodPost, site.PathQuery, "k", id, "session")
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	resp.Body.Close()
}

// TestDetectsRunsAfterRemoval checks that a run at a model server after the drain bound since its
// removal is detected, unless faults of the store or the node excuse it.
func TestDetectsRunsAfterRemoval(t *testing.T) {
	long := span{from: time.Now().Add(-small.bounds.Drain - time.Second)}
	tests := []struct {
		name    string
		removed span
		excuse  func(w *world)
		want    int
	}{
		{"removed long ago", long, func(*world) {}, 1},
		{"just removed", span{from: time.Now()}, func(*world) {}, 0},
		{"back", span{from: long.from, to: time.Now()}, func(*world) {}, 0},
		{"store has faults", long, func(w *world) { w.storeDisturbances.open()() }, 0},
		{"node has faults", long, func(w *world) { w.nodes[0].disturbances.open()() }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newIdleWorld(t)
			w.removed[0].list = []*span{&tc.removed}
			tc.excuse(w)
			runAt(t, addrs[modelProxy])
			test.Len(t, tc.want, w.ranAfterRemoval(0))
		})
	}
}

// TestDetectsRunsInEvacuatedDomains checks that a run in an evacuated failure domain is detected after
// the evacuation bound, unless faults of the store or the node excuse it.
func TestDetectsRunsInEvacuatedDomains(t *testing.T) {
	long := span{from: time.Now().Add(-small.bounds.Evacuate - time.Second)}
	tests := []struct {
		name      string
		evacuated span
		excuse    func(w *world)
		want      int
	}{
		{"evacuated long ago", long, func(*world) {}, 1},
		{"evacuated just now", span{from: time.Now()}, func(*world) {}, 0},
		{"revoked just now", span{from: long.from, to: time.Now()}, func(*world) {}, 0},
		{"store has faults", long, func(w *world) { w.storeDisturbances.open()() }, 0},
		{"node has faults", long, func(w *world) { w.nodes[0].disturbances.open()() }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newIdleWorld(t)
			w.evacuated.list = []*span{&tc.evacuated}
			tc.excuse(w)
			runAt(t, addrs[modelProxy+len(w.site.Models)-1])
			test.Len(t, tc.want, w.ranEvacuated())
		})
	}
}

// TestDetectsStreamsOfTwoReleases checks that a stream that continues at another release is detected, in one
// response and when its client resumes it.
func TestDetectsStreamsOfTwoReleases(t *testing.T) {
	for _, tc := range []struct {
		name   string
		second string // id of the request that continues
		server int    // index of the server at which it does
		want   int
	}{
		{"one response, same release", "a", 2, 0},
		{"one response", "a", 1, 1},
		{"resumed, same release", "b", 2, 0},
		{"resumed", "b", 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newIdleWorld(t)
			w.observed.resumes["b"] = "a"
			runAt(t, addrs[modelProxy])
			req, err := site.Request(context.Background(), addrs[modelProxy+tc.server], http.MethodPost, site.PathQuery, "k", tc.second, "session")
			must.NoError(t, err)
			req.Header.Set("Last-Event-Id", "1")
			resp, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			resp.Body.Close()
			test.Len(t, tc.want, w.mixedReleases())
		})
	}
}

// TestDetectsTooFewResumedStreams checks that refused streams are detected if clients resumed them at a connected
// node while the metadata store was stable.
func TestDetectsTooFewResumedStreams(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name   string
		excuse func(w *world)
		want   int
	}{
		{"connected", func(*world) {}, 1},
		{"store disturbed", func(w *world) { w.storeDisturbances.list = []*span{{from: now.Add(-time.Second)}} }, 0},
		{"store disturbed before", func(w *world) {
			w.storeDisturbances.list = []*span{{from: now.Add(-time.Minute), to: now.Add(-2 * w.bounds.StableWindow)}}
		}, 1},
		{"node disturbed", func(w *world) { w.nodes[0].disturbances.list = []*span{{from: now.Add(-time.Second)}} }, 0},
		{"other server of the release away", func(w *world) { w.away[2].list = []*span{{from: now.Add(-time.Second)}} }, 0},
		{"server of another release away", func(w *world) { w.away[1].list = []*span{{from: now.Add(-time.Second)}} }, 1},
		{"not counted", func(w *world) {
			for id := range w.observed.resumes {
				w.observed.uncounted[id] = true
			}
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w, _ := newIdleWorld(t)
			for i := range minResumed {
				first := fmt.Sprint("a", i)
				w.observed.sent[first] = sentRequest{target: site.PathQuery, at: now}
				w.observed.received[first] = received{server: w.site.Models[0].ID(), at: now}
				w.observed.sent[first+"-2"] = sentRequest{target: site.PathQuery, at: now}
				w.observed.resumes[first+"-2"] = first
			}
			tc.excuse(w)
			test.Len(t, tc.want, w.tooFewResumed())
		})
	}
}

// replacedWeights sets a target version at a time before the version bound.
func replacedWeights(now time.Time) func(w *world) {
	return func(w *world) {
		w.versions = []targetVersion{{version: 2, at: now.Add(-w.bounds.Version - time.Second)}}
	}
}

// TestClientChecksDetectViolations checks that a client detects responses that violate guarantees.
func TestClientChecksDetectViolations(t *testing.T) {
	event := func(ids ...string) string {
		var b strings.Builder
		for _, id := range ids {
			b.WriteString("id: " + id + "\ndata: piece " + id + "\n\n")
		}
		return b.String()
	}
	complete := event("1", "2", "3", "4", "5", "6", "7", "8")
	const stream = "text/event-stream"
	tests := []struct {
		status             int
		kind, seal, body   string
		retryAfter, broken string
	}{
		{http.StatusOK, stream, "s", complete, "", ""},
		{http.StatusOK, stream, "s", ": x\n\n" + complete + ": x\n\n", "", ""},
		{http.StatusOK, stream, "s", ": x\n" + event("2"), "", `instead of "id: 1`},
		{http.StatusOK, stream, "s", event("1", "3"), "", `instead of "id: 2`},
		{http.StatusOK, stream, "s", event("1", "1"), "", `instead of "id: 2`},
		{http.StatusOK, stream, "s", event("1") + "id: 2\ndata: piece 3\n\n", "", `instead of "id: 2`},
		{http.StatusOK, stream, "s", complete + "id: 9\nda", "", "complete stream has"},
		{http.StatusOK, stream, "s", event("1", "2"), "", "complete stream has"},
		{http.StatusOK, "", "s", "plain-1 answers a", "", ""},
		{http.StatusOK, "", "s", "plain-1 answers b", "", "received the response"},
		{http.StatusOK, "", "", "plain-1 answers a", "", "without a seal"},
		{http.StatusOK, "", "s of b", "plain-1 answers a", "", `received the response to "b"`},
		{http.StatusServiceUnavailable, "", "", "", "1", ""},
		{http.StatusServiceUnavailable, "", "", "", "", "without Retry-After"},
	}
	for _, tc := range tests {
		c := &client{observed: newObserved()}
		header := http.Header{}
		header.Set("Content-Type", tc.kind)
		header.Set("X-Server-Seal", tc.seal)
		header.Set("X-Attempt-Id", "a")
		if _, other, found := strings.Cut(tc.seal, " of "); found {
			header.Set("X-Attempt-Id", other)
		}
		header.Set("Retry-After", tc.retryAfter)
		c.check("a", site.PathQuery, &http.Response{StatusCode: tc.status, Header: header, Body: io.NopCloser(strings.NewReader(tc.body))})
		test.StrContains(t, strings.Join(c.observed.failures, "\n"), tc.broken)
		test.Eq(t, tc.broken == "", len(c.observed.failures) == 0)
	}
}

// TestRecordsNotRunStatuses checks that a client records each status that guarantees that the request
// did not run.
func TestRecordsNotRunStatuses(t *testing.T) {
	for status, promises := range map[int]bool{503: true, 429: true, 408: true, 421: true, 502: false, 504: false, 500: false} {
		c := &client{observed: newObserved()}
		header := http.Header{}
		header.Set("Retry-After", "1")
		c.check("a", site.PathQuery, &http.Response{StatusCode: status, Header: header, Body: http.NoBody})
		test.Eq(t, promises, c.observed.refused["a"])
	}
}

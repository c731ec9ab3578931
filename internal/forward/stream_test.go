package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// resuming returns what makes a request resume a stream. Empty headers are left out.
func resuming(after string, resumes ...string) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("X-Attempt-Id", "r2")
		if after != "" {
			r.Header.Set("Last-Event-Id", after)
		}
		for _, id := range resumes {
			r.Header.Add("Resumes", id)
		}
	}
}

func TestResumedStreamIsBoundToItsRelease(t *testing.T) {
	began := origin.Origin{Service: "servers", Release: "v1"}
	for _, c := range []struct {
		name   string
		change func(*http.Request)
		other  origin.Origin // of streams that have no record
		status int
		code   string
	}{
		{"named", resuming("2", "r1"), origin.Origin{}, http.StatusOK, ""},
		{"named, without a position", resuming("", "r1"), origin.Origin{}, http.StatusOK, ""},
		{"named twice alike", resuming("2", "r1", "r1"), origin.Origin{}, http.StatusOK, ""},
		{"named with several ids", resuming("2", "r1", "r3"), began, http.StatusBadRequest, "bad_resumes"},
		{"named with a long id", resuming("2", strings.Repeat("7", 200)), began, http.StatusBadRequest, "bad_resumes"},
		{"not named, one release", resuming("2"), began, http.StatusOK, ""},
		{"not named, not known", resuming("2"), origin.Origin{}, http.StatusServiceUnavailable, "stream_unknown"},
		{"unknown", resuming("2", "r7"), origin.Origin{}, http.StatusServiceUnavailable, "stream_unknown"},
		{"release is gone", resuming("2", "r7"), origin.Origin{Service: "servers", Release: "v0"}, http.StatusServiceUnavailable, "no_endpoint"},
		{"service is gone", resuming("2", "r7"), origin.Origin{Service: "others", Release: "v1"}, http.StatusServiceUnavailable, "no_endpoint_of_release"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHandler(t, "m")
			must.Eq(t, http.StatusOK, h.do(t, http.MethodGet, resumePath, "", nil).status)
			h.origins.other = c.other
			got := h.do(t, http.MethodGet, resumePath, "", c.change)
			test.Eq(t, c.status, got.status, test.Sprint(got.body))
			test.StrContains(t, got.body, c.code)
			runs := h.servers[0].Runs()
			test.Eq(t, c.status == http.StatusOK, len(runs) == 2)
			if c.code == "stream_unknown" || c.code == "no_endpoint_of_release" {
				test.Eq(t, "", got.header.Get("Retry-After"))
			}
		})
	}
}

// TestUnknownStreamIsNotFinalAtStartingNode guards against telling callers to give a stream up of which a node
// can't have heard yet.
func TestUnknownStreamIsNotFinalAtStartingNode(t *testing.T) {
	h := newTestHandler(t, "m")
	h.origins.other, h.origins.starting = origin.Origin{}, true
	got := h.do(t, http.MethodGet, resumePath, "", resuming("2", "r7"))
	test.Eq(t, http.StatusServiceUnavailable, got.status)
	test.StrContains(t, got.body, "stream_unknown")
	test.NotEq(t, "", got.header.Get("Retry-After"))
}

func TestStreamOfAnotherAccountIsNotFound(t *testing.T) {
	h := newTestHandler(t, "m")
	h.state.config.Accounts = append(h.state.config.Accounts, routing.Account{Name: "mill", Keys: []string{"mill-key"}})
	h.state.config.Index()
	must.Eq(t, http.StatusOK, h.do(t, http.MethodGet, resumePath, "", nil).status)
	h.origins.other = origin.Origin{}
	got := h.do(t, http.MethodGet, resumePath, "", func(r *http.Request) {
		resuming("2", "r1")(r)
		r.Header.Set("Authorization", "Bearer mill-key")
	})
	test.Eq(t, http.StatusServiceUnavailable, got.status)
	test.StrContains(t, got.body, "stream_unknown")
}

func TestStreamOfUnknownReleaseIsNotSentAgain(t *testing.T) {
	h := newTestHandler(t, "m", "m")
	f := fleet.New(zerolog.Nop())
	for _, m := range h.placer.members {
		e := *m.Endpoint()
		e.Release = ""
		f.Update(&e, time.Now())
	}
	h.placer.members = f.Members("servers")
	h.servers[0].SetFaults(modelserver.Faults{CutAfter: 2})
	got := h.do(t, http.MethodGet, resumePath, "", nil)
	test.Error(t, got.err)
	test.Len(t, 0, h.servers[1].Runs())
}

func TestPassedStreamIsBoundToItsRelease(t *testing.T) {
	helper := newTestHandler(t, "m")
	helper.origins.other = origin.Origin{}
	h := newPartitioned(t, serveHelper(t, helper))
	got := h.do(t, http.MethodGet, resumePath, "", resuming("2", "r1"))
	test.Eq(t, http.StatusServiceUnavailable, got.status, test.Sprint("no helper is known to honor releases"))
	h = newPartitionedAmong(t, true, serveHelper(t, helper))
	for release, status := range map[string]int{"v1": http.StatusOK, "v2": http.StatusServiceUnavailable} {
		h.origins.other.Release = release
		got = h.do(t, http.MethodGet, resumePath, "", resuming("2", "r1"))
		test.Eq(t, status, got.status, test.Sprint(release))
	}
	test.Eq(t, 1, runsOf(helper))
}
